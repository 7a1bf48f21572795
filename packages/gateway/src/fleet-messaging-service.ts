/**
 * Connects an instance to the fleet: owns the datagram socket and passes messages between the
 * socket and the fleet member, which decides what to send. At each tick, the fleet member returns
 * the messages that are due.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type KernelService} from '@shallotpond/kernel/kernel';
import {createDatagramTransport} from '@shallotpond/io-fleet/datagram-transport';
import {createFleetMember, type FleetMemberOptions} from '@shallotpond/policy-fleet/fleet-member';
import {type FleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {createTickSchedule, type UpdateKind} from '@shallotpond/policy-fleet/tick-schedule';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type EventLog} from '@shallotpond/observability/event-log';

export type FleetMessagingService = KernelService & {
	readonly roster: FleetRoster;
	/**
	 * Sends a report soon, without waiting for the usual interval, because a failure was observed.
	 */
	markUrgent(): void;
	/**
	 * Sends a report to the members of this failure domain soon, because the load that this instance
	 * puts on targets has changed.
	 */
	recordLoadChange(): void;
	/** Sends the messages that are due now; also called when the instance begins to stop. */
	flush(): void;
};

export type FleetMessagingServiceOptions = FleetMemberOptions & {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
	/** UDP port, the same on all instances. */
	readonly port: number;
	/** Called once a second; `now` is in monotonic milliseconds. */
	readonly onSecond: (now: number) => void;
};

/** Interval of the regular ticks; failures and changes of the load cause additional ones. */
const idleTickIntervalMs = 125;
const millisecondsPerSecond = 1000;

export function createFleetMessagingService(
	options: FleetMessagingServiceOptions,
): FleetMessagingService {
	const {clock, metrics, log} = options;
	const member = createFleetMember(options);
	const ticks = createTickSchedule({
		sameDomainMembers: () => member.roster.sameDomainMembers(clock.monotonic()).length,
	});
	let isStopped = false;
	let cancelRequestedTick: (() => void) | undefined;
	let cancelTicks: (() => void) | undefined;
	let cancelSeconds: (() => void) | undefined;

	const transport = createDatagramTransport({
		address: options.self.address,
		port: options.port,
		onMessage(message) {
			transport.send(member.receive(message, clock.monotonic()));
			if (member.hasUrgentRelays) {
				requestTick('failure');
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
		const now = clock.monotonic();
		cancelRequestedTick?.();
		cancelRequestedTick = undefined;
		ticks.recordTick(now);
		transport.send(member.tick(now));
	}

	/** Requests a tick in addition to the regular ones. */
	function requestTick(kind: UpdateKind): void {
		const now = clock.monotonic();
		const dueAt = ticks.requestTick(kind, now);
		if (dueAt === undefined || isStopped) {
			return;
		}

		cancelRequestedTick?.();
		cancelRequestedTick = clock.after(dueAt - now, flush);
	}

	return {
		roster: member.roster,
		async start() {
			await transport.start();
			cancelTicks = clock.every(idleTickIntervalMs, flush);
			cancelSeconds = clock.every(millisecondsPerSecond, () => {
				options.onSecond(clock.monotonic());
			});
		},
		async stop() {
			isStopped = true;
			cancelRequestedTick?.();
			cancelTicks?.();
			cancelSeconds?.();
			await transport.stop();
		},
		markUrgent() {
			member.markUrgent();
			requestTick('failure');
		},
		recordLoadChange() {
			member.recordLoadChange();
			requestTick('load');
		},
		flush,
	};
}
