/**
 * The faults of one run, drawn from its seed: what happens when, to which instance, target or domain.
 * Faults overlap and come in series, because that is where single ones would not show anything.
 */
import {drawWeighted, type Random} from '@shallotpond/kernel/random';

export type FaultKind =
	| 'instance-kill'
	| 'instance-stop'
	| 'instance-pause'
	| 'fleet-kill'
	| 'target-crash'
	| 'target-gray'
	| 'target-slow'
	| 'target-mute'
	| 'target-forgets'
	| 'target-leaves'
	| 'link-delay'
	| 'link-reset'
	| 'link-silence'
	| 'link-one-way'
	| 'connections-silent'
	| 'store-cut'
	| 'store-reset'
	| 'store-silent'
	| 'store-busy'
	| 'store-slow'
	| 'store-compact'
	| 'route-move'
	| 'key-withdraw'
	| 'domain-out'
	| 'flood';

export type Fault = {
	readonly kind: FaultKind;
	/** Milliseconds from the start of the traffic. */
	readonly at: number;
	readonly duration: number;
	/** Picks what is hit, 0 to 1. */
	readonly choice: number;
};

/** How often each kind comes, relative to the others. */
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
/** Milliseconds. */
const quietStart = 1500;
const quietEnd = 2500;
const shortestFault = 500;
const longestFault = 4000;
const meanGap = 450;
/** Chance that a fault repeats at once, and how soon. */
const seriesChance = 0.25;
const seriesGap = 300;

function pick(random: Random): FaultKind {
	const entries = Object.entries(weights) as Array<[FaultKind, number]>;
	const [kind] = drawWeighted(entries, ([, weight]) => weight, random) ?? entries.at(-1)!;
	return kind;
}

/** `duration` is that of the traffic, milliseconds. Faults end before the traffic does. */
export function drawFaults(random: Random, duration: number): Fault[] {
	const faults: Fault[] = [];
	let at = quietStart;
	while (at < duration - quietEnd) {
		const fault = {
			kind: pick(random),
			at,
			duration: shortestFault + random() * (longestFault - shortestFault),
			choice: random(),
		};
		faults.push(fault);
		if (random() < seriesChance) {
			faults.push({...fault, at: at + seriesGap, choice: random()});
		}

		at += -Math.log(1 - random()) * meanGap;
	}

	return faults
		.filter(fault => fault.at < duration - quietEnd)
		.map(fault => ({
			...fault,
			duration: Math.min(fault.duration, duration - quietEnd - fault.at),
		}));
}
