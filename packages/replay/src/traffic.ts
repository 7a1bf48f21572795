/**
 * Generates seeded requests for a simulated fleet. The random numbers do not depend on the fleet, so
 * two fleets with different policies get the same requests at the same times on the same
 * instances.
 */
import {createSeededRandom, type Random} from '@shallotpond/kernel/random';
import {type SimulatedFleet} from './simulated-fleet.js';

export type TrafficOptions = {
	readonly seed: number;
	/** Start of the traffic, in milliseconds of true time; `until` is its end. */
	readonly from: number;
	readonly until: number;
	/** Requests per second by workspace. */
	readonly load: Readonly<Record<string, number>>;
	/** Services, chosen with equal probability. */
	readonly services: readonly string[];
	/** Milliseconds, 2,000 by default. */
	readonly timeout?: number;
};

/** Sends the requests of each workspace as a Poisson process to random instances. */
export function sendTraffic(fleet: SimulatedFleet, options: TrafficOptions): void {
	const {seed, from, until, load, services, timeout} = options;
	for (const [index, [workspace, rate]] of Object.entries(load).entries()) {
		const random = createSeededRandom(seed * 1000 + index);
		const scheduleNext = (time: number) => {
			const due = time + drawExponential(1000 / rate, random);
			if (due >= until) {
				return;
			}

			fleet.scheduleAt(due, () => {
				const service = services[Math.floor(random() * services.length)]!;
				const instance = findAcceptingInstance(
					fleet,
					Math.floor(random() * fleet.instances.length),
				);
				fleet.sendRequest({service, workspace, instance, timeout});
				scheduleNext(due);
			});
		};

		scheduleNext(from);
	}
}

/**
 * Sends requests of one workspace in one step: `factor` times its burst, spread evenly over the
 * instances.
 */
export function sendBurst(
	fleet: SimulatedFleet,
	options: {
		/** Milliseconds of true time. */
		readonly at: number;
		readonly workspace: string;
		readonly service: string;
		readonly factor: number;
	},
): void {
	const {at, workspace, service, factor} = options;
	fleet.scheduleAt(at, () => {
		const {burst} = fleet.document.workspaces[workspace]!;
		for (let index = 0; index < burst * factor; index++) {
			const instance = findAcceptingInstance(fleet, index % fleet.instances.length);
			fleet.sendRequest({service, workspace, instance});
		}
	});
}

/** Load that is `ratio` times the rate of every workspace, in requests per second. */
export function scaleRates(fleet: SimulatedFleet, ratio: number): Record<string, number> {
	return Object.fromEntries(
		Object.entries(fleet.document.workspaces).map(([name, {rate}]) => [name, rate * ratio]),
	);
}

/** Like the load balancer of the platform, tries the next instance if one does not accept. */
function findAcceptingInstance(fleet: SimulatedFleet, preferred: number): number {
	const {length} = fleet.instances;
	for (let offset = 0; offset < length; offset++) {
		const index = (preferred + offset) % length;
		if (fleet.isAccepting(index)) {
			return index;
		}
	}

	return preferred;
}

function drawExponential(mean: number, random: Random): number {
	return -Math.log(1 - random()) * mean;
}
