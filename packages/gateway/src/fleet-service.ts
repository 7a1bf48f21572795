/**
 * The task of an instance as a member of the fleet: owns the datagram socket and passes messages
 * between it and the decisions.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type Service} from '@shallotpond/kernel/kernel';
import {createDatagramTask} from '@shallotpond/io-fleet/datagram-task';
import {createFleetMember, type FleetMemberOptions} from '@shallotpond/policy-fleet/fleet-member';
import {type FleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type EventLog} from '@shallotpond/observability/event-log';

export type FleetService = Service & {
	readonly roster: FleetRoster;
	/** Sends a report with the next tick instead of at the usual pace. */
	markUrgent(): void;
	/** Tells neighbours with the next tick that the load of this instance has changed. */
	recordLoadChange(): void;
	/** Sends what is due now; a stopping instance calls it once more. */
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

/** Milliseconds between two looks at what is due while nothing happens. */
const idleInterval = 125;
/** Milliseconds that urgent news waits for more; a request takes several times as long. */
const newsDelay = 20;
/**
 * The same for each neighbour above eight. Every neighbour hears the news of every other, so a large
 * failure domain collects more of it: an instance gets about 200 datagrams a second at most.
 */
const newsDelayPerNeighbour = 6;
const neighboursAtOnce = 8;
const millisecondsPerSecond = 1000;

export function createFleetService(options: FleetServiceOptions): FleetService {
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

	/** Wakes up once for all news of the next milliseconds. */
	function tickSoon(): void {
		if (isTickDue) {
			return;
		}

		isTickDue = true;
		const neighbours = member.roster.neighbours(clock.monotonic()).length;
		const more = Math.max(0, neighbours - neighboursAtOnce) * newsDelayPerNeighbour;
		clock.after(newsDelay + more, () => {
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
			cancelTicks = clock.every(idleInterval, flush);
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
