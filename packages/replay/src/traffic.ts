/**
 * Seeded requests for a fleet. The draws do not depend on the fleet, so two fleets with different
 * policies get the same requests at the same times and entry instances.
 */
import {createSeededRandom, type Random} from '@shallotpond/kernel/random';
import {type Fleet} from './fleet-harness.js';

export type TrafficOptions = {
	readonly seed: number;
	/** Milliseconds of true time. */
	readonly from: number;
	readonly until: number;
	/** Requests per second by workspace. */
	readonly load: Readonly<Record<string, number>>;
	/** Services to choose from with equal probability. */
	readonly services: readonly string[];
	/** Milliseconds, 2,000 by default. */
	readonly timeout?: number;
};

/** Poisson arrivals of each workspace at random entry instances. */
export function sendTraffic(fleet: Fleet, options: TrafficOptions): void {
	const {seed, from, until, load, services, timeout} = options;
	for (const [index, [workspace, perSecond]] of Object.entries(load).entries()) {
		const random = createSeededRandom(seed * 1000 + index);
		const next = (time: number) => {
			const due = time + exponential(1000 / perSecond, random);
			if (due >= until) {
				return;
			}

			fleet.at(due, () => {
				const service = services[Math.floor(random() * services.length)]!;
				const instance = acceptingInstance(fleet, Math.floor(random() * fleet.instances.length));
				fleet.request({service, workspace, instance, timeout});
				next(due);
			});
		};

		next(from);
	}
}

/** Sends as many requests as the workspace may send at once, times `factor`, in one step. */
export function sendBurst(
	fleet: Fleet,
	options: {
		readonly at: number;
		readonly workspace: string;
		readonly service: string;
		readonly factor: number;
	},
): void {
	const {at, workspace, service, factor} = options;
	fleet.at(at, () => {
		const {burst} = fleet.document.workspaces[workspace]!;
		for (let index = 0; index < burst * factor; index++) {
			const instance = acceptingInstance(fleet, index % fleet.instances.length);
			fleet.request({service, workspace, instance});
		}
	});
}

/** Part of the rate of every workspace. */
export function scaleRates(fleet: Fleet, part: number): Record<string, number> {
	return Object.fromEntries(
		Object.entries(fleet.document.workspaces).map(([name, {rate}]) => [name, rate * part]),
	);
}

/** The load balancer of the platform tries the next instance when one does not accept. */
function acceptingInstance(fleet: Fleet, preferred: number): number {
	const {length} = fleet.instances;
	for (let offset = 0; offset < length; offset++) {
		const index = (preferred + offset) % length;
		if (fleet.isAccepting(index)) {
			return index;
		}
	}

	return preferred;
}

function exponential(mean: number, random: Random): number {
	return -Math.log(1 - random()) * mean;
}
