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
	hasten(): void;
	/** Tells neighbours with the next tick that the load of this instance has changed. */
	noteLoad(): void;
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

/** Milliseconds; the longest that news waits. A request takes several times as long. */
const tickInterval = 20;
const millisecondsPerSecond = 1000;

export function createFleetService(options: FleetServiceOptions): FleetService {
	const {clock, metrics, log} = options;
	const member = createFleetMember(options);
	let cancelTicks: (() => void) | undefined;
	let cancelSeconds: (() => void) | undefined;

	const task = createDatagramTask({
		address: options.self.address,
		port: options.port,
		onMessage(message) {
			task.send(member.receive(message, clock.monotonic()));
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

	return {
		roster: member.roster,
		async start() {
			await task.start();
			cancelTicks = clock.every(tickInterval, flush);
			cancelSeconds = clock.every(millisecondsPerSecond, () => {
				options.onSecond(clock.monotonic());
			});
		},
		async stop() {
			cancelTicks?.();
			cancelSeconds?.();
			await task.stop();
		},
		hasten() {
			member.hasten();
		},
		noteLoad() {
			member.noteLoad();
		},
		flush,
	};
}
