/**
 * The current configuration and the time since it was last known to be the newest. A withdrawn key
 * must stop working everywhere, so an instance that cannot tell whether its configuration is the
 * newest stops serving requests that need a key.
 */
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {createLookupTables, type LookupTables} from '@shallotpond/configuration/lookup-tables';
import {readClockOffset, type Clock} from '@shallotpond/kernel/clock';
import {type KernelService} from '@shallotpond/kernel/kernel';
import {type EventLog} from '@shallotpond/observability/event-log';

export type CurrentConfiguration = KernelService & {
	/** Undefined until the first configuration has been adopted. */
	readonly tables: LookupTables | undefined;
	readonly version: number;
	/**
	 * Adopts a document unless the current version is higher, so that an outdated source cannot
	 * restore an old version. The states of failure domains may change within a version.
	 */
	adopt(document: ConfigurationDocument): void;
	/**
	 * Records that the current configuration was the newest at `at` (monotonic milliseconds).
	 * `clockOffset` is the result of `readClockOffset` when the confirmation was requested: if the
	 * machine was suspended before the response was read, the confirmation is older than `at` says.
	 */
	confirm(at: number, clockOffset: number): void;
	/**
	 * Milliseconds since the configuration was last known to be the newest; infinite if it never was.
	 */
	confirmedAgo(): number;
	/**
	 * Milliseconds for which a target of the service is cold after its start, so that it can serve
	 * only few requests; 0 for an unknown service.
	 */
	coldTimeOf(service: string): number;
	/** Whether a key may have been withdrawn without this instance learning of it in time. */
	isUncertain(): boolean;
};

export type CurrentConfigurationOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	/** Milliseconds within which a withdrawn key must stop working; undefined for no such limit. */
	readonly revocationLimit: number | undefined;
	/** Called when a failure domain that was out is in service again. */
	readonly onDomainReturned: (domain: string) => void;
};

/** Time that a request may need from the check of its key until the request is sent to a target. */
const dispatchReserveMs = 700;
/**
 * Drift between wall clock and monotonic clock that does not count as a suspension of the machine.
 * The monotonic clock stops while the machine is suspended.
 */
const clockToleranceMs = 500;

function returnedDomains(
	before: LookupTables | undefined,
	document: ConfigurationDocument,
): string[] {
	return Object.entries(document.failureDomains)
		.filter(
			([name, {state}]) => state === 'in' && before?.document.failureDomains[name]?.state === 'out',
		)
		.map(([name]) => name);
}

export function createCurrentConfiguration(
	options: CurrentConfigurationOptions,
): CurrentConfiguration {
	const {clock, log, revocationLimit} = options;
	let tables: LookupTables | undefined;
	let confirmedAt = Number.NEGATIVE_INFINITY;
	let confirmedOffset = 0;

	function confirmedAgo(): number {
		const suspendedFor = readClockOffset(clock) - confirmedOffset;
		return clock.monotonic() - confirmedAt + (suspendedFor > clockToleranceMs ? suspendedFor : 0);
	}

	return {
		get tables() {
			return tables;
		},
		get version() {
			return tables?.document.version ?? 0;
		},
		adopt(document) {
			const before = tables?.document.version ?? 0;
			if (document.version < before) {
				log.write('configuration-refused', {version: document.version, inForce: before});
				return;
			}

			const returned = returnedDomains(tables, document);
			tables = createLookupTables(document);
			const out = Object.entries(document.failureDomains)
				.filter(([, domain]) => domain.state === 'out')
				.map(([name]) => name);
			log.write('configuration-adopted', {version: document.version, before, domainsOut: out});
			for (const domain of returned) {
				options.onDomainReturned(domain);
			}
		},
		confirm(at, clockOffset) {
			if (at > confirmedAt) {
				confirmedAt = at;
				confirmedOffset = clockOffset;
			}
		},
		confirmedAgo,
		coldTimeOf: service => tables?.document.services[service]?.coldTime ?? 0,
		isUncertain: () =>
			revocationLimit !== undefined && confirmedAgo() > revocationLimit - dispatchReserveMs,
	};
}
