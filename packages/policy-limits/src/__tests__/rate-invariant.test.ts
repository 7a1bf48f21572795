/**
 * Guards against a fleet that admits more requests of a workspace than rate x time + burst. This
 * can come about when two owners grant the same tokens: shares move while grants are in use,
 * processes pause, clocks differ in speed, and messages are lost, copied or delivered out of order.
 */
import {env} from 'node:process';
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {createRateOwner, type RateOwner} from '../rate-owner.js';
import {createRateRequester, type RateEffects} from '../rate-requester.js';
import {createSingleCounter} from '../single-counter.js';
import {type TokenGrant, type TokenMessage} from '../token-messages.js';
import {type WorkspaceRateLimit} from '../workspace-rate-limit.js';
import {createShareLedger} from './share-ledger.js';

const members = 4;
const member = fc.nat(members - 1);
const owner: fc.Arbitrary<number | undefined> = fc.option(fc.constantFrom(0, 0, 1, 1, 2, 3), {
	nil: undefined,
	freq: 8,
});
// Milliseconds. Most are shorter than the lifetime of a grant, and some are close to it.
const pause = fc.oneof(
	{weight: 14, arbitrary: fc.nat(6)},
	{weight: 3, arbitrary: fc.constantFrom(90, 99, 100, 101, 104)},
	{weight: 1, arbitrary: fc.nat(250)},
	{weight: 1, arbitrary: fc.integer({min: 300, max: 5000})},
);
const count = fc.integer({min: 1, max: 24});
const kind = <Kind extends string>(name: Kind) => fc.constant(name);
const weigh = <Value>(weight: number, arbitrary: fc.Arbitrary<Value>) => ({weight, arbitrary});
const action = fc.oneof(
	weigh(6, fc.record({kind: kind('exchange'), member, count})),
	weigh(3, fc.record({kind: kind('take-over'), member, count, gap: fc.nat(110)})),
	weigh(4, fc.record({kind: kind('admit'), member, count})),
	weigh(1, fc.record({kind: kind('abandon'), member})),
	weigh(2, fc.record({kind: kind('tick'), member})),
	weigh(1, fc.record({kind: kind('hoard'), member, count})),
	weigh(3, fc.record({kind: kind('use'), count})),
	weigh(1, fc.record({kind: kind('give-back')})),
	weigh(2, fc.record({kind: kind('deliver'), pick: fc.nat(1000), isCopied: fc.boolean()})),
	weigh(4, fc.record({kind: kind('deliver-all')})),
	weigh(1, fc.record({kind: kind('lose'), pick: fc.nat(1000)})),
	weigh(1, fc.record({kind: kind('move'), member, owner})),
	weigh(2, fc.record({kind: kind('move-all'), owner})),
);
type Action = typeof action extends fc.Arbitrary<infer Value> ? Value : never;
type Kind = Action['kind'];
const schedule = fc.array(fc.record({pause, action}), {
	minLength: 10,
	maxLength: 60,
	size: 'max',
});

/** Speed of the clock of each instance, relative to simulated time. */
const clockSpeeds = [1, 0.995, 1.004, 1];
type OwnerFactory = (
	fraction: Parameters<typeof createRateOwner>[0]['shareFractionOf'],
) => RateOwner;

/** A fleet with a requester that hoards grants and uses them until they expire. */
function createFleet(limits: WorkspaceRateLimit, minority: number, createOwner?: OwnerFactory) {
	const ledger = createShareLedger(members);
	let now = 0;
	const admitted: number[] = [];
	const network: Array<OutboundMessage<TokenMessage> & {from: string}> = [];
	const hoard: Array<{grant: TokenGrant; from: string; until: number; used: number}> = [];
	const hoardAsks = new Map<number, number>();
	const waiting = new Map<number, number[]>();
	const localTime = (index: number) => now * clockSpeeds[index]!;
	const instances = Array.from({length: members}, (_, index) => {
		const shareFractionOf = () => {
			const {majoritySince, ...rest} = ledger.fraction(index, now);
			return {...rest, majoritySince: majoritySince && majoritySince * clockSpeeds[index]!};
		};

		const ownerOptions = {
			shareFractionOf,
			limits: () => limits,
			minorityFraction: () => minority,
		};
		return {
			owner: createOwner?.(shareFractionOf) ?? createRateOwner(ownerOptions),
			requester: createRateRequester({
				ownerOf() {
					const found = ledger.ownerOf(index);
					return found === undefined ? undefined : String(found);
				},
				ownShare: () => 1 / members,
				limits: () => limits,
				minorityFraction: () => minority,
			}),
		};
	});

	function applyEffects(index: number, effects: RateEffects): void {
		for (const message of effects.messages) {
			network.push({...message, from: String(index)});
		}

		for (const {admission} of effects.settled) {
			if (admission.kind === 'admitted') {
				admitted.push(now);
			}
		}
	}

	function receive({to, from, message}: OutboundMessage<TokenMessage> & {from: string}): void {
		if (to === 'hoarder') {
			const askedAt = hoardAsks.get(message.id);
			if (message.kind === 'token-grant' && askedAt !== undefined) {
				hoardAsks.delete(message.id);
				hoard.push({grant: message, from, until: askedAt + message.validFor, used: 0});
			}

			return;
		}

		const index = Number(to);
		if (message.kind === 'token-ask' || message.kind === 'token-return') {
			const answers = instances[index]!.owner.handle(message, from, localTime(index));
			network.push(...answers.map(answer => ({...answer, from: to})));
		} else {
			applyEffects(index, instances[index]!.requester.handle(message, from, localTime(index)));
		}
	}

	const perform: {[K in Kind]: (step: Extract<Action, {kind: K}>) => void} = {
		admit({member: index, count}) {
			for (let round = 0; round < count; round++) {
				const effects = instances[index]!.requester.admit('w', localTime(index));
				applyEffects(index, effects);
				if (effects.admission.kind === 'admitted') {
					admitted.push(now);
				} else if (effects.admission.kind === 'wait') {
					waiting.set(index, [...(waiting.get(index) ?? []), effects.admission.request]);
				}
			}
		},
		abandon({member: index}) {
			for (const request of waiting.get(index) ?? []) {
				instances[index]!.requester.cancel('w', request);
			}
		},
		tick({member: index}) {
			applyEffects(index, instances[index]!.requester.tick(localTime(index)));
			const answers = instances[index]!.owner.tick(localTime(index));
			network.push(...answers.map(answer => ({...answer, from: String(index)})));
		},
		hoard({member: index, count}) {
			const id = hoardAsks.size + hoard.length + 1 + now * 1000;
			hoardAsks.set(id, now);
			const message = {kind: 'token-ask', id, workspace: 'w', count, waited: 0} as const;
			network.push({to: String(index), from: 'hoarder', message});
		},
		exchange({member: index, count}) {
			perform.hoard({kind: 'hoard', member: index, count});
			perform['deliver-all']({kind: 'deliver-all'});
			perform['deliver-all']({kind: 'deliver-all'});
		},
		'take-over'({member: index, count, gap}) {
			const before = ledger.ownerOf(0) ?? index;
			perform.exchange({kind: 'exchange', member: before, count});
			perform['move-all']({kind: 'move-all', owner: index});
			for (const pause of [0, gap, 10]) {
				now += pause;
				perform.exchange({kind: 'exchange', member: index, count});
			}
		},
		use({count}) {
			for (const held of hoard) {
				const used = now < held.until ? Math.min(count, held.grant.count - held.used) : 0;
				held.used += used;
				admitted.push(...Array.from<number>({length: used}).fill(now));
			}
		},
		'give-back'() {
			for (const {grant, from, used} of hoard.splice(0)) {
				const {id, workspace, count} = grant;
				const returned = count - used;
				const message = {kind: 'token-return', id, workspace, used, returned} as const;
				network.push({to: from, from: 'hoarder', message});
			}
		},
		deliver({pick, isCopied}) {
			const index = pick % Math.max(1, network.length);
			const [found] = isCopied ? network.slice(index, index + 1) : network.splice(index, 1);
			if (found !== undefined) {
				receive(found);
			}
		},
		'deliver-all'() {
			for (const message of network.splice(0)) {
				receive(message);
			}
		},
		lose({pick}) {
			network.splice(pick % Math.max(1, network.length), 1);
		},
		move({member: index, owner: to}) {
			ledger.move(index, to, now);
		},
		'move-all'({owner: to}) {
			for (let index = 0; index < members; index++) {
				ledger.move(index, to, now);
			}
		},
	};

	// Shares have been lent for a while when a schedule starts, or nothing would be granted.
	perform['move-all']({kind: 'move-all', owner: 0});
	now = 5000;
	return {
		admitted,
		run(steps: ReadonlyArray<{pause: number; action: Action}>) {
			for (const step of steps) {
				now += step.pause;
				perform[step.action.kind](step.action as never);
			}
		},
	};
}

/** The largest difference between admitted requests and rate x time in any window of time. */
function largestBurst(admitted: readonly number[], rate: number): number {
	let minExcess = Number.POSITIVE_INFINITY;
	let largest = 0;
	for (const [index, time] of admitted.entries()) {
		const excess = index - (rate * time) / 1000;
		minExcess = Math.min(minExcess, excess);
		largest = Math.max(largest, excess - minExcess + 1);
	}

	return largest;
}

const workspaceLimits = fc.record({
	rate: fc.constantFrom(5, 50, 500),
	burst: fc.integer({min: 1, max: 24}),
});

describe('rate of a workspace over the whole fleet', () => {
	test('no window admits more than rate x time + burst under moved shares, pauses and message faults', () => {
		let total = 0;
		fc.assert(
			fc.property(
				schedule,
				workspaceLimits,
				fc.constantFrom(0, 0, 0.25, 1),
				(steps, limits, minority) => {
					const fleet = createFleet(limits, minority);
					fleet.run(steps);
					total += fleet.admitted.length;
					expect(largestBurst(fleet.admitted, limits.rate)).toBeLessThanOrEqual(
						limits.burst + 1e-6,
					);
				},
			),
			{seed: 20_261_204, numRuns: Number(env.RATE_RUNS ?? 5000)},
		);
		// Guards against schedules in which nothing is ever granted.
		expect(total).toBeGreaterThan(20_000);
	});

	test('the single counter exceeds the bound in the same schedules, so they can detect violations', () => {
		const result = fc.check(
			fc.property(schedule, workspaceLimits, (steps, limits) => {
				const fleet = createFleet(limits, 0.25, () => createSingleCounter({limits: () => limits}));
				fleet.run(steps);
				return largestBurst(fleet.admitted, limits.rate) <= limits.burst + 1e-6;
			}),
			{seed: 20_261_204, numRuns: 500},
		);
		expect(result.failed).toBe(true);
	});
});
