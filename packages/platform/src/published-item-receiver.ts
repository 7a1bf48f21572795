/**
 * Turns the published items of the platform's store into the configuration and the targets of the
 * gateway. Invalid items are logged: an invalid target is treated as deleted, and an invalid
 * configuration is ignored.
 */
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {type Clock} from '@shallotpond/kernel/clock';
import {type EventLog} from '@shallotpond/observability/event-log';
import {type CurrentConfiguration} from '@shallotpond/gateway/current-configuration';
import {type PublishedItemReceiver} from '@shallotpond/gateway/published-state-service';
import {type PublishedItem} from '@shallotpond/policy-fleet/published-log';
import {type TargetDirectory} from '@shallotpond/policy-routing/target-directory';
import {
	decodeConfiguration,
	decodeTarget,
	type ConfigurationEntry,
	type TargetEntry,
} from './store-entries.js';
import {storeKeys} from './wire-names.js';

export type PublishedItemReceiverOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly failureDomains: readonly string[];
	/** Fraction of the healthy targets of each service that must stay in use, 0 to 1. */
	readonly floor: number;
	readonly configuration: CurrentConfiguration;
	readonly directory: TargetDirectory;
	readonly onCallerIdleTimeout: (timeout: number) => void;
};

/**
 * Milliseconds without contact to the store after which entries may be missing only because the
 * store was unavailable. The store drops the entry of a target after three missed check-ins, which
 * are 1.5 s apart.
 */
const outageThreshold = 1000;
/**
 * Milliseconds for which a target without an entry is kept after an outage of the store; running
 * targets are listed again within 2 s.
 */
const missingEntryGrace = 1900;

export function createPublishedItemReceiver(
	options: PublishedItemReceiverOptions,
): Pick<PublishedItemReceiver, 'takeSnapshot' | 'takeChange'> {
	const {clock, log, configuration, directory} = options;
	const evacuatedDomains = new Set<string>();
	/** The newest valid entry of each listed target, by id. */
	const listed = new Map<string, TargetEntry>();
	let configurationEntry: ConfigurationEntry | undefined;

	function logInvalidEntry(key: string, error: unknown): void {
		log.write('store-entry-refused', {entry: key, error: String(error)});
	}

	function readTarget({key, value}: PublishedItem): TargetEntry | undefined {
		try {
			return decodeTarget(key, value!);
		} catch (error) {
			logInvalidEntry(key, error);
			return undefined;
		}
	}

	function readConfiguration({key, value}: PublishedItem): ConfigurationEntry | undefined {
		try {
			return decodeConfiguration(value!, options.floor);
		} catch (error) {
			logInvalidEntry(key, error);
			return undefined;
		}
	}

	/**
	 * Whether a newer check-in of the target is known. An older check-in may arrive late, for example
	 * after the target has restarted.
	 */
	function isOutdated(target: TargetEntry): boolean {
		const known = listed.get(target.id);
		if (known === undefined) {
			return false;
		}

		return (
			target.startTime < known.startTime ||
			(target.startTime === known.startTime && target.sequence < known.sequence)
		);
	}

	function adoptConfiguration(): void {
		if (configurationEntry === undefined) {
			return;
		}

		const failureDomains: ConfigurationDocument['failureDomains'] = {};
		for (const domain of options.failureDomains) {
			failureDomains[domain] = {state: evacuatedDomains.has(domain) ? 'out' : 'in'};
		}

		configuration.adopt({...configurationEntry.document, failureDomains});
	}

	function handleConfiguration(item: PublishedItem): void {
		const decoded = item.value === undefined ? undefined : readConfiguration(item);
		if (
			decoded === undefined ||
			decoded.document.version < (configurationEntry?.document.version ?? 0)
		) {
			return;
		}

		configurationEntry = decoded;
		if (decoded.callerIdleTimeout !== undefined) {
			options.onCallerIdleTimeout(decoded.callerIdleTimeout);
		}
	}

	/**
	 * A failure domain is evacuated while the store has an evacuation item for it, whatever the
	 * value.
	 */
	function handleEvacuation(item: PublishedItem): void {
		const domain = item.key.slice(storeKeys.evacuationPrefix.length);
		if (item.value === undefined) {
			evacuatedDomains.delete(domain);
		} else {
			evacuatedDomains.add(domain);
		}
	}

	function removeTarget(id: string): void {
		const known = listed.get(id);
		if (known !== undefined) {
			listed.delete(id);
			directory.remove(id);
			log.write('target-unlisted', {target: id, service: known.service});
		}
	}

	function handleTarget(item: PublishedItem): void {
		const id = item.key.slice(storeKeys.targetPrefix.length);
		const target = item.value === undefined ? undefined : readTarget(item);
		if (target === undefined) {
			removeTarget(id);
			return;
		}

		if (isOutdated(target)) {
			return;
		}

		listed.set(id, target);
		directory.addOrUpdate(target, clock.monotonic());
		log.write(target.state === 'ready' ? 'target-listed' : 'target-leaving', {
			target: `${id}@${target.startTime}`,
			service: target.service,
			address: target.address,
			coldFor: target.coldFor,
		});
	}

	return {
		takeSnapshot(items, outageDuration) {
			const isAfterOutage = outageDuration > outageThreshold;
			evacuatedDomains.clear();
			const targets: TargetEntry[] = [];
			for (const item of items) {
				if (item.key.startsWith(storeKeys.targetPrefix)) {
					const target = readTarget(item);
					if (target !== undefined) {
						targets.push(target);
					}
				} else if (item.key.startsWith(storeKeys.evacuationPrefix)) {
					handleEvacuation(item);
				} else if (item.key === storeKeys.configuration) {
					handleConfiguration(item);
				}
			}

			listed.clear();
			for (const target of targets) {
				listed.set(target.id, target);
			}

			directory.replace(targets, isAfterOutage ? missingEntryGrace : 0, clock.monotonic());
			adoptConfiguration();
		},
		takeChange(item) {
			if (item.key.startsWith(storeKeys.targetPrefix)) {
				handleTarget(item);
			} else if (item.key.startsWith(storeKeys.evacuationPrefix)) {
				handleEvacuation(item);
				adoptConfiguration();
			} else if (item.key === storeKeys.configuration) {
				handleConfiguration(item);
				adoptConfiguration();
			}
		},
	};
}
