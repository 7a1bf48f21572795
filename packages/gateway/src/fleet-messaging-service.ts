/**
 * Connects an instance to the fleet: owns the datagram socket and passes messages between it and
 * the fleet member, which decides what to send.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type Service} from '@shallotpond/kernel/kernel';
import {createDatagramTask} from '@shallotpond/io-fleet/datagram-task';
import {createFleetMember, type FleetMemberOptions} from '@shallotpond/policy-fleet/fleet-member';
import {type FleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type EventLog} from '@shallotpond/observability/event-log';

export type FleetMessagingService = Service & {
	readonly roster: FleetRoster;
	/** Sends a report with the next tick instead of at the usual interval. */
	markUrgent(): void;
	/** Reports with the next tick to the neighbours that the load of this instance has changed. */
	recordLoadChange(): void;
	/** Sends what is due now; called once more when the instance stops. */
	flush(): void;
};

export type FleetServiceOptions = FleetMemberOptions & {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
	readonly port: number;
	/** Called once a second. */
	readonly onSecond: (now: number) => void;
};

/** Time between two ticks while nothing is urgent. */
const idleTickIntervalMs = 125;
/** Time in which urgent updates are collected; a request takes several times as long. */
const updateDelayMs = 20;
/**
 * The same for each neighbour above eight. Every neighbour receives the updates of every other, so
 * a large failure domain collects them for longer: an instance gets at most about 200 datagrams per
 * second.
 */
const updateDelayPerNeighbourMs = 6;
const neighboursWithoutExtraDelay = 8;
const millisecondsPerSecond = 1000;

export function createFleetMessagingService(options: FleetServiceOptions): FleetMessagingService {
	const {clock, metrics, log} = options;
	const member = createFleetMember(options);
	let isTickDue = false;
	let isStopped = false;
	let cancelTicks: (() => void) | undefined;
	let cancelSeconds: (() => void) | undefined;

	const task = createDatagramTask({
		address: options.self.address,
		port: options.port,
		onMessage(message) {
			task.send(member.receive(message, clock.monotonic()));
			if (member.hasUrgentRelays) {
				tickSoon();
			}
		},
		count(counter, amount) {
			metrics.count(counter, amount);
		},
		onError(error) {
			log.write('internal-error', {place: 'datagrams', error: String(error)});
		},
	});

	function flush(): void {
		task.send(member.tick(clock.monotonic()));
	}

	/** Schedules one tick for all updates of the next milliseconds. */
	function tickSoon(): void {
		if (isTickDue) {
			return;
		}

		isTickDue = true;
		const neighbours = member.roster.neighbours(clock.monotonic()).length;
		const extraDelay =
			Math.max(0, neighbours - neighboursWithoutExtraDelay) * updateDelayPerNeighbourMs;
		clock.after(updateDelayMs + extraDelay, () => {
			isTickDue = false;
			if (!isStopped) {
				flush();
			}
		});
	}

	return {
		roster: member.roster,
		async start() {
			await task.start();
			cancelTicks = clock.every(idleTickIntervalMs, flush);
			cancelSeconds = clock.every(millisecondsPerSecond, () => {
				options.onSecond(clock.monotonic());
			});
		},
		async stop() {
			isStopped = true;
			cancelTicks?.();
			cancelSeconds?.();
			await task.stop();
		},
		markUrgent() {
			member.markUrgent();
			tickSoon();
		},
		recordLoadChange() {
			member.recordLoadChange();
			tickSoon();
		},
		flush,
	};
}
