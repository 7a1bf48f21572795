/**
 * A fleet in simulated time: instances, a network, the ownership of shares, and targets. Requests
 * are counted where they run: at the targets.
 */
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {createSeededRandom, type Random} from '@shallotpond/kernel/random';
import {slotGrantTtl} from '@shallotpond/policy-membership/timing';
import {type DispatchSettings, type TargetAvailability} from '../dispatch-settings.js';
import {createLocalBalancer} from '../local-balancer.js';
import {createSlotCoordinator, type SlotCoordinator} from '../slot-coordinator.js';
import {createSlotHolder, type HeldGrant, type HolderEffects} from '../slot-holder.js';
import {type SlotCoordinatorMessage, type SlotMessage} from '../slot-messages.js';
import {type HealthChange} from '../target-health.js';

export type SimulatedResponse = {
	/** Milliseconds. */
	readonly latency: number;
	readonly result: AttemptResult;
	readonly generation?: string;
};
export type SimulatedFleetOptions = {
	readonly seed: number;
	readonly instances: number;
	readonly service: DispatchSettings;
	readonly policy?: 'coordinated' | 'local';
	/** Fraction of the messages that are lost; handovers are never lost. */
	readonly loss?: number;
	/** Probability that one more copy of a message arrives. */
	readonly duplication?: number;
	/** Fraction of the message copies that arrive up to 6 s late, and so out of order. */
	readonly late?: number;
	/**
	 * Milliseconds from the move of a share until it counts as vested; by default 1% longer than the
	 * lifetime of a grant.
	 */
	readonly vesting?: number;
	readonly respond: (
		target: string,
		holder: string,
		now: number,
		random: Random,
	) => SimulatedResponse;
	readonly onFinish?: (workspace: string, result: AttemptResult | 'refused', now: number) => void;
};

// Global lookups are slow in the module contexts of jest.
const {cos, exp, log, sqrt} = Math;
const fullCircle = 2 * Math.PI;

type Run = {readonly holder: string; readonly grant: HeldGrant; readonly endsAt: number};
const serviceName = 'roster';
/** Step of simulated time. */
const stepMs = 5;

export function createSimulatedFleet(options: SimulatedFleetOptions) {
	const {instances: count, service, loss = 0, duplication = 0, late = 0} = options;
	const random = createSeededRandom(options.seed);
	const scheduled = new Map<number, Array<() => void>>();
	const running = new Map(service.targets.map(({id}) => [id, new Map<string, Run>()]));
	/** Maximum number of requests that ran at each target at the same time. */
	const peakRunning = new Map(service.targets.map(({id}) => [id, 0]));
	const workspaces = new Map<string, string>();
	const unavailable = new Map<string, TargetAvailability>();
	const changes: Array<HealthChange & {readonly at: number}> = [];
	const services = new Map([[serviceName, service]]);
	/** Owner of each share of each shard, and the simulated time at which it became the owner. */
	const sharesByResource = new Map<string, Array<{owner: number | undefined; since: number}>>();
	let now = 0;
	const starts: Array<{readonly target: string; readonly holder: string; readonly at: number}> = [];
	let dispatched = 0;

	const sharesOf = (resource: string) => {
		let list = sharesByResource.get(resource);
		if (!list) {
			const owner = [...resource].reduce((sum, char) => sum + char.charCodeAt(0), 0) % count; // eslint-disable-line unicorn/prefer-code-point
			list = Array.from({length: count}, () => ({owner, since: -1e9}));
			sharesByResource.set(resource, list);
		}

		return list;
	};

	const schedule = (delay: number, action: () => void) => {
		const due = Math.max(now + stepMs, Math.ceil((now + delay) / stepMs) * stepMs);
		const list = scheduled.get(due);
		if (list) {
			list.push(action);
		} else {
			scheduled.set(due, [action]);
		}
	};

	const availability = (_service: string, {id}: {readonly id: string}) =>
		unavailable.get(id) ?? 'available';

	const instances = Array.from({length: count}, (_, index) => {
		const self = `i${index}`;
		// Clocks have different origins, and speeds that differ by up to 0.5%.
		const origin = random() * 1e6;
		const speed = 1 + (random() - 0.5) / 100;
		const clock = () => origin + now * speed;
		const shareFractionOf = (resource: string) => {
			const own = sharesOf(resource).filter(share => share.owner === index);
			const vested = own.filter(
				share => now - share.since >= (options.vesting ?? slotGrantTtl * 1.01),
			);
			return {
				current: own.length / count,
				vested: vested.length / count,
				majoritySince: undefined,
			};
		};

		const ownerOf = (resource: string) => {
			const {owner} = sharesOf(resource)[index]!;
			return owner === undefined ? undefined : `i${owner}`;
		};

		const base = {self, availability, random};
		const coordinator: SlotCoordinator = createSlotCoordinator({
			...base,
			shareFractionOf,
			onHealthChange: (_, change) => changes.push({...change, at: now}),
		});
		const holder =
			options.policy === 'local' ? createLocalBalancer(base) : createSlotHolder({...base, ownerOf});
		coordinator.configure(services, clock());
		holder.configure(services);
		return {self, index, clock, coordinator, holder, ownerOf, pausedUntil: 0, isStopped: false};
	});
	type Instance = (typeof instances)[number];

	/** Runs an action as soon as the instance is not paused. */
	const whenAwake = (instance: Instance, action: () => void) => {
		if (instance.pausedUntil > now) {
			schedule(instance.pausedUntil - now + random() * 20, () => {
				whenAwake(instance, action);
			});
		} else {
			action();
		}
	};

	const isForCoordinator = (message: SlotMessage): message is SlotCoordinatorMessage =>
		['slot-ask', 'slot-release', 'slot-cancel', 'slot-renew', 'slot-handover'].includes(
			message.kind,
		);

	const send = (from: Instance, outbound: ReadonlyArray<OutboundMessage<SlotMessage>>) => {
		for (const {to, message} of outbound) {
			const receiver = instances[Number(to.slice(1))]!;
			const deliver = () => {
				if (isForCoordinator(message)) {
					send(receiver, receiver.coordinator.handle(message, from.self, receiver.clock()));
				} else {
					apply(receiver, receiver.holder.handle(message, from.self, receiver.clock()));
				}
			};

			const copies = message.kind === 'slot-handover' || random() >= loss ? 1 : 0;
			for (let copy = 0; copy < copies + (random() < duplication ? 1 : 0); copy++) {
				schedule(random() < late ? random() * 6000 : 1 + random() * 3, () => {
					whenAwake(receiver, deliver);
				});
			}
		}
	};

	const end = (
		instance: Instance,
		grant: HeldGrant,
		latency: number,
		response: SimulatedResponse,
	) => {
		running.get(grant.target)!.delete(grant.grant);
		const outcome = {...response, latency, slotTime: latency};
		apply(instance, instance.holder.release(grant, outcome, instance.clock()));
		options.onFinish?.(grant.workspace, response.result, now);
	};

	const start = (instance: Instance, grant: HeldGrant) => {
		if (!instance.holder.canDispatch(grant, () => true, instance.clock())) {
			apply(instance, instance.holder.release(grant, undefined, instance.clock()));
			return;
		}

		const runs = running.get(grant.target)!;
		const response = options.respond(grant.target, instance.self, now, random);
		const startedAt = now;
		// A request ends at the target after its latency, even while its instance is paused. Unlike a
		// real target, the simulated one does not apply the end of the grant as a deadline, so only an
		// instance that is never paused, and so cancels in time, may send a request that outlasts its
		// grant.
		runs.set(grant.grant, {holder: instance.self, grant, endsAt: now + response.latency});
		dispatched++;
		starts.push({target: grant.target, holder: instance.self, at: now});
		peakRunning.set(grant.target, Math.max(peakRunning.get(grant.target)!, runs.size));
		schedule(response.latency, () => {
			const isRunning = runs.delete(grant.grant);
			whenAwake(instance, () => {
				if (isRunning) {
					end(instance, grant, now - startedAt, response);
				}
			});
		});
	};

	const apply = (instance: Instance, {messages: outbound, events}: HolderEffects) => {
		send(instance, outbound);
		for (const event of events) {
			if (event.kind === 'granted') {
				start(instance, event.grant);
			} else if (event.kind === 'expired') {
				end(instance, event.grant, 0, {latency: 0, result: 'cancelled'});
			} else {
				options.onFinish?.(workspaces.get(event.request) ?? '', 'refused', now);
			}
		}
	};

	const tick = (instance: Instance) => {
		if (instance.pausedUntil <= now) {
			send(instance, instance.coordinator.tick(instance.clock()));
			apply(instance, instance.holder.tick(instance.clock()));
		}

		schedule(100, () => {
			tick(instance);
		});
	};

	for (const instance of instances) {
		schedule(random() * 100, () => {
			tick(instance);
		});
	}

	return {
		random,
		instances,
		changes,
		peakRunning,
		unavailable,
		sharesOf,
		schedule,
		get now() {
			return now;
		},
		get dispatched() {
			return dispatched;
		},
		/** Starts of requests at targets, in order. */
		starts,
		/** The first coordinator that keeps state of the target. */
		coordinatorOf: (target: string) =>
			instances
				.map(({coordinator}) => coordinator)
				.find(coordinator => coordinator.allowedSlotsOf(serviceName, target) !== undefined)!,
		running: (target: string) => running.get(target)!.size,
		ask(index: number, workspace: string, timeLimit = 2000) {
			const instance = instances[index]!;
			whenAwake(instance, () => {
				const time = instance.clock();
				const deadline = time + timeLimit;
				const asked = instance.holder.ask({service: serviceName, workspace, deadline}, time);
				workspaces.set(asked.request, workspace);
				apply(instance, asked.effects);
			});
		},
		/** Poisson arrivals of a workspace at random instances, until the given time. */
		load(workspace: string, perSecond: number, until: number) {
			const next = () => {
				if (now < until) {
					this.ask(Math.floor(random() * count), workspace);
					schedule((-Math.log(1 - random()) * 1000) / perSecond, next);
				}
			};

			schedule(0, next);
		},
		run(milliseconds: number, check?: () => void) {
			for (const limit = now + milliseconds; now < limit;) {
				now += stepMs;
				const due = scheduled.get(now) ?? [];
				scheduled.delete(now);
				for (const action of due) {
					action();
				}

				check?.();
			}
		},
		/**
		 * Planned stop of an instance: its shares move with the handover, and vested shares stay
		 * vested.
		 */
		stop(index: number, successor: number) {
			const instance = instances[index]!;
			const outbound = instance.coordinator.handOverShards(() => `i${successor}`, instance.clock());
			for (const {to, message} of outbound) {
				if (message.kind === 'slot-handover') {
					const receiver = instances[Number(to.slice(1))]!;
					receiver.coordinator.handle(message, instance.self, receiver.clock());
				} else {
					send(instance, [{to, message}]);
				}
			}

			for (const list of sharesByResource.values()) {
				for (const share of list) {
					if (share.owner === index) {
						share.owner = successor;
					}
				}
			}
		},
	};
}

export function createTestService(targets: number, changes: Partial<DispatchSettings> = {}) {
	return {
		targets: Array.from({length: targets}, (_, index) => ({
			id: `t${index}`,
			failureDomain: `d${index % 4}`,
		})),
		slots: 4,
		connections: 330,
		coldSlots: 1,
		warmUpAnswers: 3,
		warmUpStep: 100,
		floor: 0.7,
		shardSize: 4,
		...changes,
	};
}

/**
 * Log-normal latency in milliseconds with the given median. `deviation` is the standard deviation
 * of its logarithm; the default is that of ordinary back ends.
 */
export function sampleLogNormal(median: number, random: Random, deviation = 0.5): number {
	const normal = sqrt(-2 * log(1 - random())) * cos(fullCircle * random());
	return median * exp(deviation * normal);
}
