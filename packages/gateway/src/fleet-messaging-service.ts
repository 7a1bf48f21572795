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

/** Interval of the regular ticks; urgent updates cause additional ones. */
const idleTickIntervalMs = 125;
/**
 * Time for which urgent updates are collected, to be sent with one tick; a request takes several
 * times as long.
 */
const updateDelayMs = 20;
/**
 * Additional time to collect updates, for each other member of this failure domain above eight.
 * Every member receives the updates of all others in its domain, so the members of a large domain
 * collect updates for longer: an instance gets at most about 200 datagrams per second.
 */
const updateDelayPerMemberMs = 6;
const membersWithoutExtraDelay = 8;
const millisecondsPerSecond = 1000;

export function createFleetMessagingService(
	options: FleetMessagingServiceOptions,
): FleetMessagingService {
	const {clock, metrics, log} = options;
	const member = createFleetMember(options);
	let isTickScheduled = false;
	let isStopped = false;
	let cancelTicks: (() => void) | undefined;
	let cancelSeconds: (() => void) | undefined;

	const transport = createDatagramTransport({
		address: options.self.address,
		port: options.port,
		onMessage(message) {
			transport.send(member.receive(message, clock.monotonic()));
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
		transport.send(member.tick(clock.monotonic()));
	}

	/**
	 * Schedules one tick for all updates of the next milliseconds, in addition to the regular ticks.
	 */
	function tickSoon(): void {
		if (isTickScheduled) {
			return;
		}

		isTickScheduled = true;
		const memberCount = member.roster.sameDomainMembers(clock.monotonic()).length;
		const extraDelay = Math.max(0, memberCount - membersWithoutExtraDelay) * updateDelayPerMemberMs;
		clock.after(updateDelayMs + extraDelay, () => {
			isTickScheduled = false;
			if (!isStopped) {
				flush();
			}
		});
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
			cancelTicks?.();
			cancelSeconds?.();
			await transport.stop();
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
