/**
 * Schedule of the faults of one soak run, drawn from its seed: what happens at what time and to
 * which instance, target or failure domain. Faults overlap and repeat, because many defects appear
 * only when several faults coincide.
 */
import {drawWeighted, type Random} from '@shallotpond/kernel/random';

export type FaultKind =
	/** One instance gets SIGKILL. */
	| 'instance-kill'
	/** One instance gets SIGTERM. */
	| 'instance-stop'
	/** One instance is suspended with SIGSTOP. */
	| 'instance-pause'
	/** All instances get SIGKILL. */
	| 'fleet-kill'
	| 'target-crash'
	/** Most requests to one target fail without delay. */
	| 'target-gray'
	| 'target-slow'
	/** One target runs requests but does not respond. */
	| 'target-mute'
	/** One target resets idle connections on their next use. */
	| 'target-forgets'
	/** One target announces that it leaves, and stops later. */
	| 'target-leaves'
	/** Bytes on the connections to one target are delayed. */
	| 'link-delay'
	/** New and open connections to one target are reset. */
	| 'link-reset'
	/** Bytes on the connections to one target are dropped in both directions. */
	| 'link-silence'
	/** Requests reach one target, but its responses are dropped. */
	| 'link-one-way'
	/** All open connections to targets and to the store are silenced. */
	| 'connections-silent'
	/** The connections of one instance to the store are silenced. */
	| 'store-cut'
	/** The store resets every connection. */
	| 'store-reset'
	/** The store accepts requests and never responds. */
	| 'store-silent'
	/** The store responds with 503. */
	| 'store-busy'
	/** The store responds later than its readers wait. */
	| 'store-slow'
	/** The store drops its history, so that watches must start again. */
	| 'store-compact'
	/** A route is moved to another service. */
	| 'route-move'
	/** An API key is replaced, and the old one is withdrawn. */
	| 'key-withdraw'
	/** A failure domain is taken out of service. */
	| 'domain-out'
	/** The callers of one workspace exceed its rate. */
	| 'flood';

export type Fault = {
	readonly kind: FaultKind;
	/** Milliseconds from the start of the traffic. */
	readonly at: number;
	/** Milliseconds. */
	readonly duration: number;
	/** Random number in [0, 1) that selects the affected instance, target or failure domain. */
	readonly choice: number;
};

/** Relative frequencies of the kinds of faults. */
const weights: Readonly<Record<FaultKind, number>> = {
	'instance-kill': 3,
	'instance-stop': 4,
	'instance-pause': 3,
	'fleet-kill': 0.5,
	'target-crash': 3,
	'target-gray': 3,
	'target-slow': 2,
	'target-mute': 2,
	'target-forgets': 2,
	'target-leaves': 3,
	'link-delay': 2,
	'link-reset': 2,
	'link-silence': 2,
	'link-one-way': 2,
	'connections-silent': 1,
	'store-cut': 2,
	'store-reset': 1,
	'store-silent': 1,
	'store-busy': 1,
	'store-slow': 1,
	'store-compact': 1,
	'route-move': 4,
	'key-withdraw': 3,
	'domain-out': 1.5,
	flood: 2,
};
/** Time without faults at the start and at the end of the traffic. */
const quietStartMs = 1500;
const quietEndMs = 2500;
const minDurationMs = 500;
const maxDurationMs = 4000;
const meanIntervalMs = 450;
/** Probability that a fault is repeated, and the time after which it is. */
const repeatProbability = 0.25;
const repeatDelayMs = 300;

function drawKind(random: Random): FaultKind {
	const entries = Object.entries(weights) as Array<[FaultKind, number]>;
	const [kind] = drawWeighted(entries, ([, weight]) => weight, random) ?? entries.at(-1)!;
	return kind;
}

/**
 * Draws the faults for traffic that lasts `duration` milliseconds. Intervals between faults are
 * exponentially distributed. All faults end before the traffic does.
 */
export function drawFaults(random: Random, duration: number): Fault[] {
	const faults: Fault[] = [];
	let at = quietStartMs;
	while (at < duration - quietEndMs) {
		const fault = {
			kind: drawKind(random),
			at,
			duration: minDurationMs + random() * (maxDurationMs - minDurationMs),
			choice: random(),
		};
		faults.push(fault);
		if (random() < repeatProbability) {
			faults.push({...fault, at: at + repeatDelayMs, choice: random()});
		}

		at += -Math.log(1 - random()) * meanIntervalMs;
	}

	return faults
		.filter(fault => fault.at < duration - quietEndMs)
		.map(fault => ({
			...fault,
			duration: Math.min(fault.duration, duration - quietEndMs - fault.at),
		}));
}
