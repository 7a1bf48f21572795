/**
 * Guards against a request that runs twice because its idempotency key is claimed twice: by two
 * owners after a change of owners or a handover, at an owner that lost its records in a restart, or
 * because messages are lost, duplicated, late or reordered.
 */
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {digestBucketOf, digestFields} from '../fingerprint.js';
import {createIdempotencyGuard, type IdempotencyEffects} from '../idempotency-guard.js';
import {type IdempotencyMessage} from '../idempotency-messages.js';
import {
	createIdempotencyRegistry,
	idempotencyRetention,
	type IdempotencyRegistryOptions,
} from '../idempotency-registry.js';

const members = 3;
const digest = digestFields(['w', 'key']);
type Envelope = OutboundMessage<IdempotencyMessage> & {from: string};
type Claim = {ticket: string; at: number};

/** Instances that are both owners and requesters; at most one of them has the majority. */
function createFleet(options: Partial<IdempotencyRegistryOptions> = {}) {
	let now = 1_000_000;
	let majority: {index: number; since: number} | undefined;
	let network: Envelope[] = [];
	let incarnation = 0;
	const claims: Claim[] = [];
	/** Tickets whose request provably did not run, with the time since when this is known. */
	const notRun = new Map<string, number>();
	const held: Array<{index: number; name: string; ticket: number}> = [];
	const refusals: string[] = [];
	const instances = Array.from({length: members}, (_, index) => start(index));

	function start(index: number) {
		const name = `${index}#${incarnation++}`;
		const registry = createIdempotencyRegistry({
			shareFractionOf: () =>
				majority?.index === index
					? {current: 0.9, vested: 0, majoritySince: majority.since}
					: {current: 0.1, vested: 0, majoritySince: undefined},
			...options,
		});
		const guard = createIdempotencyGuard({
			ownerOf: () => (majority === undefined ? undefined : instances[majority.index]!.name),
		});
		return {name, registry, guard};
	}

	function send(from: string, outbound: ReadonlyArray<OutboundMessage<IdempotencyMessage>>): void {
		for (const envelope of outbound) {
			const {message, to} = envelope;
			network.push({...envelope, from});
			const ticket = message.kind === 'idempotency-answer' ? `${to}/${message.id}` : '';
			const isClaim = message.kind === 'idempotency-answer' && message.verdict.kind === 'claimed';
			if (isClaim && claims.every(claim => claim.ticket !== ticket)) {
				claims.push({ticket, at: now});
			}
		}
	}

	function applyEffects(index: number, effects: IdempotencyEffects): void {
		const {name} = instances[index]!;
		for (const {ticket, claim} of effects.settled) {
			if (claim.kind === 'claimed') {
				held.push({index, name, ticket});
			} else {
				notRun.set(`${name}/${ticket}`, now);
				refusals.push(`${claim.code} ${claim.runState}`);
			}
		}

		send(name, effects.messages);
	}

	function receive({to, from, message}: Envelope): void {
		const index = instances.findIndex(instance => instance.name === to);
		const instance = instances[index];
		if (instance === undefined) {
			return;
		}

		if (message.kind === 'idempotency-answer' || message.kind === 'idempotency-settled') {
			applyEffects(index, instance.guard.handle(message, from, now));
		} else {
			send(to, instance.registry.handle(message, from, now));
		}
	}

	function isAlive({index, name}: {index: number; name: string}): boolean {
		return instances[index]!.name === name;
	}

	const fleet = {
		claims,
		notRun,
		refusals,
		registry: (index: number) => instances[index]!.registry,
		wait(pause: number) {
			now += pause;
		},
		claim(index: number, key = 'key') {
			const deadline = now + 1500;
			applyEffects(index, instances[index]!.guard.claim({workspace: 'w', key, deadline}, now));
		},
		settle(pick: number, state: 'ran' | 'may-have-run' | 'not-run') {
			const [found] = held.splice(pick % Math.max(1, held.length), 1);
			if (found !== undefined && isAlive(found)) {
				if (state === 'not-run') {
					notRun.set(`${found.name}/${found.ticket}`, now);
				}

				applyEffects(found.index, instances[found.index]!.guard.settle(found.ticket, state, now));
			}
		},
		deliver(pick: number, isCopied: boolean) {
			const index = pick % Math.max(1, network.length);
			const [found] = isCopied ? network.slice(index, index + 1) : network.splice(index, 1);
			if (found !== undefined) {
				receive(found);
			}
		},
		deliverAll() {
			for (let round = 0; round < 4; round++) {
				const arrived = network;
				network = [];
				for (const envelope of arrived) {
					receive(envelope);
				}
			}
		},
		loseMessage(pick: number) {
			network.splice(pick % Math.max(1, network.length), 1);
		},
		moveMajority(index: number | undefined) {
			majority = index === undefined ? undefined : {index, since: now};
		},
		askHandover(index: number) {
			const predecessor = majority && instances[majority.index]!;
			if (predecessor !== undefined && predecessor !== instances[index]) {
				const {name, registry} = instances[index]!;
				send(name, registry.requestHandover(digestBucketOf(digest), predecessor.name, now));
			}
		},
		restart(index: number) {
			if (majority?.index === index) {
				majority = undefined;
			}

			instances[index] = start(index);
		},
		tick(index: number) {
			applyEffects(index, instances[index]!.guard.tick(now));
		},
	};
	return fleet;
}

type Fleet = ReturnType<typeof createFleet>;

/**
 * Returns two claims that were granted for the same key within its retention although the request
 * of the first was not known to be `not-run` at the time of the second; undefined if there are
 * none.
 */
function findDoubleClaim({claims, notRun}: Fleet): [Claim, Claim] | undefined {
	for (const [index, second] of claims.entries()) {
		const first = claims.slice(0, index).find(claim => {
			const isFree = (notRun.get(claim.ticket) ?? Number.POSITIVE_INFINITY) <= second.at;
			return !isFree && second.at - claim.at < idempotencyRetention;
		});
		if (first !== undefined) {
			return [first, second];
		}
	}

	return undefined;
}

// Arbitraries for random schedules. The weight of a step is its relative frequency.
const member = fc.nat(members - 1);
const pick = fc.nat(100);
const state = fc.constantFrom('ran' as const, 'may-have-run' as const, 'not-run' as const);
type Step = (fleet: Fleet) => void;
const weigh = (weight: number, arbitrary: fc.Arbitrary<Step>) => ({weight, arbitrary});
const step = fc.oneof(
	weigh(
		6,
		member.map(index => fleet => {
			fleet.claim(index);
			fleet.deliverAll();
		}),
	),
	weigh(
		2,
		member.map(index => fleet => {
			fleet.claim(index);
		}),
	),
	weigh(
		2,
		fc.constant(fleet => {
			fleet.deliverAll();
		}),
	),
	weigh(
		4,
		fc.tuple(pick, state).map(values => fleet => {
			fleet.settle(...values);
		}),
	),
	weigh(
		4,
		fc.tuple(pick, fc.boolean()).map(values => fleet => {
			fleet.deliver(...values);
		}),
	),
	weigh(
		1,
		pick.map(index => fleet => {
			fleet.loseMessage(index);
		}),
	),
	weigh(
		1,
		fc.option(member, {nil: undefined, freq: 9}).map(index => fleet => {
			fleet.moveMajority(index);
		}),
	),
	weigh(
		2,
		fc.tuple(member, fc.constantFrom(1, 1, 1, 9000, 61_000)).map(([index, pause]) => fleet => {
			fleet.askHandover(index);
			fleet.deliverAll();
			fleet.wait(pause);
			fleet.moveMajority(index);
		}),
	),
	weigh(
		1,
		member.map(index => fleet => {
			fleet.askHandover(index);
		}),
	),
	weigh(
		1,
		member.map(index => fleet => {
			fleet.restart(index);
		}),
	),
	weigh(
		1,
		member.map(index => fleet => {
			fleet.tick(index);
		}),
	),
	weigh(
		3,
		fc.constantFrom(50, 1000, 2500, 9000, 60_000, 119_000, 122_000, 122_000).map(pause => fleet => {
			fleet.wait(pause);
		}),
	),
);

/** A fleet whose owner has had the majority for longer than the retention. */
function createSettledFleet(options?: Partial<IdempotencyRegistryOptions>): Fleet {
	const fleet = createFleet(options);
	fleet.moveMajority(0);
	fleet.wait(idempotencyRetention * 1.01);
	return fleet;
}

describe('idempotency keys', () => {
	test('no key is claimed twice within its retention under owner changes, message faults and restarts', () => {
		let total = 0;
		fc.assert(
			fc.property(fc.array(step, {minLength: 10, maxLength: 60, size: 'max'}), steps => {
				const fleet = createSettledFleet();
				for (const perform of steps) {
					fleet.wait(1);
					perform(fleet);
				}

				total += fleet.claims.length;
				expect(findDoubleClaim(fleet)).toBeUndefined();
			}),
			{seed: 20_261_204, numRuns: 8000},
		);
		// Without this check, the test would pass for schedules in which nothing is ever claimed.
		expect(total).toBeGreaterThan(8000);
	});

	test('a duplicate is refused with the state of the first request, and not-run frees the key', () => {
		const fleet = createSettledFleet();
		const claim = () => {
			fleet.claim(1);
			fleet.deliverAll();
		};

		claim();
		claim();
		fleet.settle(0, 'not-run');
		fleet.deliverAll();
		claim();
		fleet.settle(0, 'ran');
		fleet.deliverAll();
		claim();
		expect(fleet.claims).toHaveLength(2);
		expect(fleet.refusals).toEqual([
			'idempotency-key-used may-have-run',
			'idempotency-key-used ran',
		]);
	});

	test('a new owner refuses unknown keys unless it has received a handover or whenUnknown is accept', () => {
		const claimAtNewOwner = (
			isHandedOver: boolean,
			options?: Partial<IdempotencyRegistryOptions>,
		) => {
			const fleet = createSettledFleet(options);
			if (isHandedOver) {
				fleet.askHandover(1);
				fleet.deliverAll();
			}

			fleet.wait(100);
			fleet.moveMajority(1);
			fleet.claim(2);
			fleet.deliverAll();
			return fleet.claims.length;
		};

		expect(claimAtNewOwner(false)).toBe(0);
		expect(claimAtNewOwner(true)).toBe(1);
		expect(claimAtNewOwner(false, {whenUnknown: () => 'accept'})).toBe(1);
	});

	test('memory is bounded: a full registry refuses with not-run instead of forgetting keys', () => {
		const fleet = createSettledFleet({maxRecords: 10});
		for (let index = 0; index < 12; index++) {
			fleet.claim(1, `key ${index}`);
		}

		fleet.deliverAll();
		expect(fleet.claims).toHaveLength(10);
		expect(fleet.registry(0).size).toBe(10);
		expect(fleet.refusals).toEqual(['idempotency-full not-run', 'idempotency-full not-run']);
		fleet.wait(idempotencyRetention);
		fleet.claim(1, 'key 11');
		fleet.deliverAll();
		expect(fleet.claims).toHaveLength(11);
	});

	test('a lost answer and a lost settlement are recovered by resending', () => {
		const fleet = createSettledFleet();
		fleet.claim(1);
		fleet.deliver(0, false);
		fleet.loseMessage(0);
		fleet.wait(100);
		fleet.tick(1);
		fleet.deliverAll();
		fleet.settle(0, 'not-run');
		fleet.loseMessage(0);
		fleet.wait(100);
		fleet.tick(1);
		fleet.deliverAll();
		fleet.claim(2);
		fleet.deliverAll();
		expect(fleet.refusals).toEqual([]);
		expect(fleet.claims).toHaveLength(2);
	});

	test('a process that resumes after the claim timeout refuses its request as not-run', () => {
		const fleet = createSettledFleet();
		fleet.claim(1);
		fleet.deliver(0, false);
		fleet.wait(idempotencyRetention);
		fleet.deliver(0, false);
		expect(fleet.refusals).toEqual(['idempotency-unavailable not-run']);
	});
});
