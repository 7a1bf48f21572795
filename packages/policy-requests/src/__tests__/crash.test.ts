/**
 * Guards against a request that crashes the process that runs it and reaches one target after
 * another, because it is retried or its caller sends it again to another instance. Guards also
 * against refusals of an ordinary request whose targets failed for another reason.
 */
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {createCrashGuard, type CrashCheck, type CrashEffects} from '../crash-guard.js';
import {type CrashMessage} from '../crash-messages.js';
import {createCrashRegistry, crashRetention} from '../crash-registry.js';
import {createCrashTableSync} from '../crash-table-sync.js';
import {createCrashTable} from '../crash-table.js';
import {createFingerprint} from '../fingerprint.js';

const members = ['a', 'b', 'c', 'd', 'e'];
const source = {workspace: 'w', method: 'GET', path: '/x?y=1', bodyDigest: undefined};
const fingerprint = createFingerprint(source);

/** Members that reach each other; messages arrive in random order, and some more than once. */
function createFleet(seed: number) {
	const random = createSeededRandom(seed);
	const network: Array<OutboundMessage<CrashMessage> & {from: string}> = [];
	const settled = new Map<string, CrashEffects['settled'][number]['check']>();
	let now = 0;
	let sentCount = 0;
	let owner: string | undefined = 'c';
	const instances = new Map(
		members.map(name => {
			const table = createCrashTable(100);
			return [
				name,
				{
					guard: createCrashGuard({ownerOf: () => owner, table}),
					registry: createCrashRegistry({self: name, table, members: () => members}),
				},
			];
		}),
	);

	function applyEffects(name: string, effects: CrashEffects): void {
		for (const {ticket, check} of effects.settled) {
			settled.set(`${name}/${ticket}`, check);
		}

		push(name, effects.messages);
	}

	function push(from: string, outbound: ReadonlyArray<OutboundMessage<CrashMessage>>): void {
		network.push(...outbound.map(item => ({...item, from})));
		sentCount += outbound.length;
	}

	function deliver(): void {
		const index = Math.floor(random() * network.length);
		const [{to, from, message}] = (
			random() < 0.1 ? network.slice(index, index + 1) : network.splice(index, 1)
		) as [(typeof network)[number]];
		const {guard, registry} = instances.get(to)!;
		if (message.kind === 'crash-answer' || message.kind === 'crash-notice') {
			applyEffects(to, guard.handle(message, from, now));
		} else {
			push(to, registry.handle(message, from, now));
		}
	}

	/**
	 * Delivers messages until `isDone` returns true, for at most 1 s, so that a caller acts while
	 * other messages are still in transit.
	 */
	function runUntil(isDone: () => boolean): void {
		for (let time = 0; time < 1000 && !isDone(); time += 50) {
			while (network.length > 0 && !isDone()) {
				deliver();
			}

			now += 50;
			for (const [name, {guard, registry}] of instances) {
				applyEffects(name, guard.tick(now));
				push(name, registry.tick(now));
			}
		}
	}

	function run(): void {
		runUntil(() => false);
	}

	const guardOf = (name: string) => instances.get(name)!.guard;

	return {
		run,
		wait(pause: number) {
			now += pause;
		},
		loseOwner() {
			owner = undefined;
		},
		get sentCount() {
			return sentCount;
		},
		/** Checks copies of a request at the same time; returns those that may go to a target. */
		check(names: readonly string[], meanwhile?: () => void) {
			const checks = names.map(name => {
				const effects = guardOf(name).check(fingerprint, now + 400, now);
				applyEffects(name, effects);
				return {name, check: effects.check};
			});
			meanwhile?.();
			runUntil(() =>
				checks.every(
					({name, check}) => check.kind !== 'wait' || settled.has(`${name}/${check.ticket}`),
				),
			);
			return checks.flatMap(({name, check}) => {
				const final = (
					check.kind === 'wait' ? settled.get(`${name}/${check.ticket}`) : check
				) as CrashCheck;
				return final.kind === 'allowed' ? [{name, trial: final.trial}] : [];
			});
		},
		crash({name, trial}: {name: string; trial?: number}, target: string) {
			const effects = guardOf(name).reportCrash({fingerprint, target, trial}, now);
			applyEffects(name, effects);
			runUntil(() => settled.has(`${name}/${effects.ticket}`));
			return settled.get(`${name}/${effects.ticket}`);
		},
		endTrial({name, trial}: {name: string; trial?: number}, hasResponse: boolean) {
			applyEffects(name, guardOf(name).endTrial(trial!, hasResponse, now));
			run();
		},
	};
}

describe('crashing requests', () => {
	test('a request that breaks each connection reaches at most two targets, whichever instances receive its copies', () => {
		const copies = fc.subarray(members, {minLength: 1});
		fc.assert(
			fc.property(fc.integer(), fc.array(copies, {minLength: 3, maxLength: 6}), (seed, rounds) => {
				const fleet = createFleet(seed);
				const targets = new Set<string>();
				for (const [round, names] of rounds.entries()) {
					// Before the first crash is known, copies that are checked at the same time are all
					// allowed, so the first round checks only one.
					const allowed = fleet.check(round === 0 ? names.slice(0, 1) : names);
					for (const [index, attempt] of allowed.entries()) {
						targets.add(`${round}/${index}`);
						expect(fleet.crash(attempt, `${round}/${index}`)).toEqual({kind: 'recorded'});
					}
				}

				expect(targets.size).toBe(2);
			}),
			{seed: 20_261_204, numRuns: 1000},
		);
	});

	test('an ordinary request costs no message, and a trial with a response ends the suspicion', () => {
		const fleet = createFleet(1);
		expect(fleet.check(members)).toHaveLength(5);
		expect(fleet.sentCount).toBe(0);
		fleet.crash({name: 'a'}, 'first');
		const [trial, ...others] = fleet.check(['b', 'd']);
		expect(others).toEqual([]);
		fleet.endTrial(trial!, true);
		const before = fleet.sentCount;
		expect(fleet.check(members)).toHaveLength(5);
		expect(fleet.sentCount).toBe(before);
	});

	test('a frequent request whose targets fail together is not refused', () => {
		const fleet = createFleet(5);
		const together = fleet.check(['a', 'b', 'c']);
		for (const [index, attempt] of together.entries()) {
			fleet.crash(attempt, `dead ${index}`);
		}

		const [trial, ...others] = fleet.check(['d', 'e']);
		expect([trial === undefined, others]).toEqual([false, []]);
		fleet.endTrial(trial!, true);
		expect(fleet.check(members)).toHaveLength(5);
	});

	test('a copy that waits for a trial proceeds when the trial gets a response', () => {
		const fleet = createFleet(4);
		fleet.crash({name: 'a'}, 'first');
		const [trial] = fleet.check(['b']);
		const allowed = fleet.check(['d'], () => {
			fleet.endTrial(trial!, true);
		});
		expect(allowed).toHaveLength(1);
	});

	test('a trial that did not run makes way for another, so that the request is not refused for a minute', () => {
		const fleet = createFleet(2);
		fleet.crash({name: 'a'}, 'first');
		fleet.endTrial(fleet.check(['b'])[0]!, false);
		expect(fleet.check(['d'])).toHaveLength(1);
	});

	test('a refusal ends after ten minutes, and an instance that has no owner to ask refuses the request after two crashes', () => {
		const fleet = createFleet(3);
		fleet.loseOwner();
		fleet.crash({name: 'a'}, 'first');
		expect(fleet.check(['a'])).toEqual([]);
		fleet.crash({name: 'a'}, 'second');
		fleet.wait(crashRetention - 2000);
		expect(fleet.check(['a'])).toEqual([]);
		fleet.wait(3000);
		expect(fleet.check(['a'])).toHaveLength(1);
	});

	test('memory is bounded, and blocked fingerprints outlast a flood of suspects', () => {
		const table = createCrashTable(10);
		const entry = (name: string, targets: string[]) => ({
			fingerprint: name,
			targets,
			until: 1000,
			revision: 1,
		});
		table.store(entry('blocked', ['a', 'b']), 0);
		for (let index = 0; index < 50; index++) {
			table.store(entry(`suspect ${index}`, ['a']), 0);
		}

		expect(table.size).toBe(11);
		expect(table.lookUp('blocked', 999)).toBeDefined();
		expect(table.lookUp('blocked', 1000)).toBeUndefined();
	});

	test('an instance that joins learns which fingerprints are blocked, so that it lets no copy of a blocked request through', () => {
		const tables = new Map(members.map(name => [name, createCrashTable(10)]));
		const syncs = members.map(self => createCrashTableSync({self, table: tables.get(self)!}));
		for (const sync of syncs) {
			expect(sync.update(members, 0)).toEqual([]);
		}

		for (const table of tables.values()) {
			table.store({fingerprint, targets: ['t', 'u'], until: 1000, revision: 3}, 0);
		}

		const joined = [...members, 'new'];
		const sent = syncs.flatMap(sync => sync.update(joined, 10));
		expect(sent.map(({to}) => to)).toEqual(['new', 'new', 'new']);
		const table = createCrashTable(10);
		for (const {message} of sent) {
			table.adopt(message.record, 20);
		}

		expect(table.lookUp(fingerprint, 20)?.targets).toEqual(['t', 'u']);
		expect(syncs.flatMap(sync => sync.update(joined, 30))).toEqual([]);
	});

	test('requests whose fields hold the same text, divided differently, have different fingerprints', () => {
		const shifted = {...source, workspace: 'wG', method: 'ET'};
		expect(createFingerprint(shifted)).not.toBe(fingerprint);
		expect(createFingerprint({...source, bodyDigest: ''})).not.toBe(fingerprint);
	});
});
