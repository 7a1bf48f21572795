/**
 * Simulates a fleet whose instances limit the rate of one workspace and report to each other,
 * without sockets and with a simulated clock. The limiter, the roster and the reports are the real
 * ones; the callers, the network and its partitions are modelled. Shows how many requests the fleet
 * admits in any window.
 */
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createFleetMember, type FleetMember} from '@shallotpond/policy-fleet/fleet-member';
import {type FleetMessage} from '@shallotpond/policy-fleet/fleet-message';
import {
	createWorkspaceRateLimiter,
	type WorkspaceRateLimiter,
} from '@shallotpond/policy-routing/workspace-rate-limiter';

/** All times are in simulated milliseconds from the start of traffic. */
export type FleetRatesScenario = {
	readonly seed: number;
	/** Instances of each failure domain. */
	readonly domainSizes: readonly number[];
	/** Requests per second of the workspace, over the whole fleet. */
	readonly sent: (now: number) => number;
	/** Requests per second of other workspaces, over the whole fleet. */
	readonly otherRequests: number;
	/** Relative number of the workspace's requests at the instances of each domain; equal by default. */
	readonly domainWeights?: readonly number[];
	/**
	 * Part of the fleet in which an instance is; instances in different parts do not hear each other.
	 * Undefined while the instance is down; when it is back, it is a new process.
	 */
	readonly partOf: (instance: ModelInstance, now: number) => number | undefined;
	readonly duration: number;
};

export type ModelInstance = {
	readonly index: number;
	/** Number of its failure domain, and its place there. */
	readonly domain: number;
	readonly place: number;
};

type Process = {readonly limiter: WorkspaceRateLimiter; readonly member: FleetMember};

export type FleetRatesResult = {
	/** Maximum number of admissions in any window of the bound. */
	readonly maxPerWindow: number;
	/** Fraction of the workspace's requests in the span that were admitted. */
	admittedFraction(from: number, until: number): number;
	/** Number of admissions in the span. */
	admitted(from: number, until: number): number;
};

/** As on the platform. */
const window = 5000;
export const rate = {rate: 37, burst: 37};
export const limit = (rate.rate * window) / 1000 + rate.burst;
export const maxAdmitted = limit * 1.25 + 20;

const step = 5;
/** Milliseconds for which the instances have known each other when traffic starts. */
const leadTime = 8000;
/** Reading of the monotonic clock when traffic starts; never negative, as on a machine. */
const clockOffset = 10_000;
const tickInterval = 125;
/** Milliseconds until the tick that follows a request, as in the messaging service. */
const updateDelay = 20;
const networkDelay = 5;
const lossRatio = 0.005;

export function simulateFleetRates(scenario: FleetRatesScenario): FleetRatesResult {
	const random = createSeededRandom(scenario.seed);
	let now = -leadTime;
	const instances: ModelInstance[] = [];
	for (const [domain, size] of scenario.domainSizes.entries()) {
		for (let place = 0; place < size; place++) {
			instances.push({index: instances.length, domain, place});
		}
	}

	const monotonic = () => now + clockOffset;
	const addressOf = (index: number) => `10.0.0.${index}`;
	const processes: Array<Process | undefined> = instances.map(() => undefined);
	const pendingEvents = new Map<number, Array<() => void>>();
	const decisions: Array<{readonly at: number; readonly isAdmitted: boolean}> = [];

	function schedule(delay: number, run: () => void): void {
		const at = now + delay;
		const events = pendingEvents.get(at) ?? [];
		pendingEvents.set(at, events);
		events.push(run);
	}

	function send(from: number, outgoing: ReturnType<FleetMember['tick']>): void {
		const part = scenario.partOf(instances[from]!, now);
		for (const {to, message} of outgoing) {
			const receiver = Number(to.split('.').at(-1));
			if (random() < lossRatio || scenario.partOf(instances[receiver]!, now) !== part) {
				continue;
			}

			schedule(networkDelay, () => {
				receive(receiver, message);
			});
		}
	}

	function receive(index: number, message: FleetMessage): void {
		const process = processes[index];
		if (process !== undefined) {
			send(index, process.member.receive(message, monotonic()));
			if (process.member.hasUrgentRelays) {
				tickSoon(index, process);
			}
		}
	}

	function tick(index: number, process: Process): void {
		if (processes[index] === process) {
			send(index, process.member.tick(monotonic()));
		}
	}

	function tickSoon(index: number, process: Process): void {
		schedule(updateDelay, () => {
			tick(index, process);
		});
	}

	function createProcess({index, domain}: ModelInstance): Process {
		const limiter = createWorkspaceRateLimiter({
			bound: {window, excess: 0.25, slack: 20},
			startedAt: monotonic(),
			reachableRatio: () => member.roster.reachableRatio(monotonic()),
			isReachable: address => member.roster.isReachable(address, monotonic()),
			fleetSize: () => member.roster.reachableCount(monotonic()),
			random,
		});
		const member = createFleetMember({
			self: {address: addressOf(index), failureDomain: `domain-${domain}`, startedAt: monotonic()},
			seeds: () => [addressOf(0), addressOf(scenario.domainSizes[0]!)],
			random,
			takeContent: () => ({
				targets: [],
				inFlight: [],
				workspaces: limiter.totals,
				crashes: [],
				leavingTargets: [],
				clearedRequests: [],
				configuration: {version: 1, revision: 1, confirmedAgo: 0},
				isLeaving: false,
			}),
			onTargets: () => undefined,
			onLoad: () => undefined,
			onUsage({address}, usages) {
				limiter.recordReport(address, usages, monotonic());
			},
			onCrashes: () => undefined,
			onClearedRequests: () => undefined,
			suspects: () => [],
			onSuspects: () => undefined,
			onLeavingTargets: () => undefined,
			onConfiguration: () => undefined,
		});
		return {limiter, member};
	}

	function updateProcess(instance: ModelInstance): void {
		const {index} = instance;
		if (scenario.partOf(instance, now) === undefined) {
			processes[index] = undefined;
		} else {
			processes[index] ??= createProcess(instance);
		}
	}

	function request(workspace: string, index: number): void {
		const process = processes[index];
		if (process === undefined) {
			return;
		}

		const {isAdmitted} = process.limiter.admit(workspace, rate, monotonic());
		process.member.recordLoadChange();
		tickSoon(index, process);
		if (workspace === 'w') {
			decisions.push({at: now, isAdmitted});
		}
	}

	const totalWeight = scenario.domainSizes.reduce(
		(sum, _, domain) => sum + (scenario.domainWeights?.[domain] ?? scenario.domainSizes[domain]!),
		0,
	);

	/** An instance for a request of the workspace: its domain by weight, and any place there. */
	function chooseInstance(): number {
		let point = random() * totalWeight;
		for (const [domain, size] of scenario.domainSizes.entries()) {
			const weight = scenario.domainWeights?.[domain] ?? size;
			if (point < weight) {
				const place = Math.floor(random() * size);
				return instances.find(other => other.domain === domain && other.place === place)!.index;
			}

			point -= weight;
		}

		return 0;
	}

	function countArrivals(perSecond: number): number {
		// At most two in a step, which is enough for 400 a second.
		const expected = (perSecond * step) / 1000;
		return Number(random() < expected / 2) + Number(random() < expected / 2);
	}

	for (; now < scenario.duration; now += step) {
		for (const run of pendingEvents.get(now) ?? []) {
			run();
		}

		pendingEvents.delete(now);
		for (const instance of instances) {
			updateProcess(instance);
			const process = processes[instance.index];
			if (process !== undefined && (now + instance.index * step) % tickInterval === 0) {
				tick(instance.index, process);
			}
		}

		for (let arrivals = countArrivals(scenario.otherRequests); arrivals > 0; arrivals--) {
			request('other', Math.floor(random() * instances.length));
		}

		for (let arrivals = countArrivals(scenario.sent(now)); arrivals > 0; arrivals--) {
			request('w', chooseInstance());
		}
	}

	const admissions = decisions.filter(({isAdmitted}) => isAdmitted).map(({at}) => at);
	let maxPerWindow = 0;
	for (let first = 0, end = 0; first < admissions.length; first++) {
		while (end < admissions.length && admissions[end]! < admissions[first]! + window) {
			end++;
		}

		maxPerWindow = Math.max(maxPerWindow, end - first);
	}

	const isWithin = (at: number, from: number, until: number) => at >= from && at < until;
	const admitted = (from: number, until: number) =>
		admissions.filter(at => isWithin(at, from, until)).length;
	return {
		maxPerWindow,
		admitted,
		admittedFraction: (from, until) =>
			admitted(from, until) / decisions.filter(({at}) => isWithin(at, from, until)).length,
	};
}
