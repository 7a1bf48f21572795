/**
 * The baseline without coordination: each instance picks the target to which that instance has the
 * fewest requests in flight, enforces the slots only for its own requests, and ejects a target
 * after five consecutive failures, for 5 s at first and twice as long each further time, but for at
 * most 300 s. The balancer has the interface of the slot holder, so that the same simulation can
 * run with either of them.
 */
import {type AttemptOutcome} from '@shallotpond/kernel/attempt-outcome';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Random} from '@shallotpond/kernel/random';
import {type AvailabilityLookup, type DispatchTarget} from './dispatch-settings.js';
import {
	type HeldGrant,
	type HolderEvent,
	type HolderEffects,
	type SlotHolder,
	type SlotRequestOptions,
} from './slot-holder.js';

export type LocalBalancerOptions = {
	readonly self: InstanceId;
	readonly availability: AvailabilityLookup;
	readonly random: Random;
};

const consecutiveErrorsToEject = 5;
const minEjectionMs = 5000;
const maxEjectionMs = 300_000;

type LocalTarget = {
	readonly service: string;
	readonly definition: DispatchTarget;
	readonly slots: number;
	inFlight: number;
	consecutiveErrors: number;
	nextEjectionMs: number;
	ejectedUntil: number;
};

type WaitingRequest = {readonly request: string; readonly options: SlotRequestOptions};

export function createLocalBalancer(options: LocalBalancerOptions): SlotHolder {
	const {self, availability, random} = options;
	const services = new Map<string, Map<string, LocalTarget>>();
	const held = new Map<string, LocalTarget>();
	const waiting = new Map<string, WaitingRequest>();
	let nextId = 0;

	function pick({options: {service, excludedTargets}}: WaitingRequest, now: number) {
		let best: LocalTarget | undefined;
		let bestLoad = Number.POSITIVE_INFINITY;
		for (const target of services.get(service)?.values() ?? []) {
			const load = target.inFlight + random() / 2;
			if (
				load < bestLoad &&
				target.inFlight < target.slots &&
				now >= target.ejectedUntil &&
				!excludedTargets?.includes(target.definition.id) &&
				availability(service, target.definition) === 'available'
			) {
				best = target;
				bestLoad = load;
			}
		}

		return best;
	}

	function grantTo({request, options: {workspace, service}}: WaitingRequest, target: LocalTarget) {
		const {definition, slots} = target;
		const grant: HeldGrant = {
			grant: `${self}/${nextId++}`,
			service,
			target: definition.id,
			workspace,
			warmSlots: slots,
			definition,
			keepConnection: true,
			expiresAt: Number.POSITIVE_INFINITY,
		};
		target.inFlight++;
		held.set(grant.grant, target);
		waiting.delete(request);
		return {kind: 'granted' as const, request, grant};
	}

	/**
	 * Grants the waiting requests for which a target has a free slot and refuses those whose deadline
	 * has passed. Linear in the waiting requests and the targets, which is sufficient for a baseline.
	 */
	function advance(now: number): HolderEffects {
		const events: HolderEvent[] = [];
		for (const entry of waiting.values()) {
			const target = pick(entry, now);
			if (target) {
				events.push(grantTo(entry, target));
			} else if (entry.options.deadline <= now) {
				waiting.delete(entry.request);
				const {request} = entry;
				events.push({
					kind: 'refused',
					request,
					reason: 'deadline',
					retryAfter: 500,
					runState: 'not-run',
				});
			}
		}

		return {messages: [], events};
	}

	function recordOutcome(target: LocalTarget, {result}: AttemptOutcome, now: number): void {
		if (result === 'ok') {
			target.consecutiveErrors = 0;
		} else if (result !== 'cancelled' && result !== 'shed') {
			target.consecutiveErrors++;
		}

		if (target.consecutiveErrors >= consecutiveErrorsToEject) {
			target.consecutiveErrors = 0;
			target.ejectedUntil = now + target.nextEjectionMs;
			target.nextEjectionMs = Math.min(2 * target.nextEjectionMs, maxEjectionMs);
		}
	}

	return {
		configure(definitions) {
			services.clear();
			for (const [service, {targets, slots}] of definitions) {
				const locals = targets.map(definition => ({
					service,
					definition,
					slots,
					inFlight: 0,
					consecutiveErrors: 0,
					nextEjectionMs: minEjectionMs,
					ejectedUntil: 0,
				}));
				services.set(service, new Map(locals.map(target => [target.definition.id, target])));
			}
		},
		ask(requestOptions, now) {
			const request = `${self}/${nextId++}`;
			waiting.set(request, {request, options: requestOptions});
			return {request, effects: advance(now)};
		},
		cancel(request) {
			waiting.delete(request);
			return {messages: [], events: []};
		},
		handle: () => ({messages: [], events: []}),
		tick: advance,
		canDispatch: ({grant, service, definition}, isKeyValid) =>
			held.has(grant) && availability(service, definition) === 'available' && isKeyValid(),
		release({grant}, outcome, now) {
			const target = held.get(grant);
			if (target && held.delete(grant)) {
				target.inFlight--;
				if (outcome) {
					recordOutcome(target, outcome, now);
				}
			}

			return advance(now);
		},
		holdings: () => new Map(),
	};
}
