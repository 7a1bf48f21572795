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
import {createDepartedTargets} from '@shallotpond/policy-fleet/departed-targets';
import {createDomainEvacuations} from '@shallotpond/policy-fleet/domain-evacuations';
import {type PublishedItem} from '@shallotpond/policy-fleet/published-log';
import {type RetainedItem} from '@shallotpond/policy-fleet/retained-item';
import {unknownStartTime, type TargetDirectory} from '@shallotpond/policy-routing/target-directory';
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
/**
 * Milliseconds for which an evacuation that is missing from an older copy of the store is held. The
 * operator's write is acknowledged within 4 s (`ack_ms`), and an unsteady store stretches the bounds
 * of evacuations by up to 5 s (`max_stretch_ms`); 1 s is left to read it.
 */
const evacuationHoldMs = 10_000;

export function createPublishedItemReceiver(
	options: PublishedItemReceiverOptions,
): Pick<
	PublishedItemReceiver,
	'takeSnapshot' | 'takeChange' | 'retainedItems' | 'takeRetainedItems'
> {
	const {clock, log, configuration, directory} = options;
	const evacuations = createDomainEvacuations({holdTime: evacuationHoldMs});
	const departedTargets = createDepartedTargets({unknownStartTime});
	/** The newest valid entry of each listed target, by id, and its encoded value. */
	const listed = new Map<string, TargetEntry & {readonly value: string}>();
	let configurationEntry: ConfigurationEntry | undefined;
	let configurationValue = '';
	/** The configuration that the store lists, which may be older than the one in force. */
	let listedConfigurationValue: string | undefined;
	/**
	 * Whether the store has come back from an older copy, as far as the fleet remembers. Only then an
	 * entry may be older than what was known of its target.
	 */
	let mayBeOlderCopy = false;
	/** Monotonic milliseconds until which targets that an older copy lacks are kept. */
	let copyGraceEnd = Number.NEGATIVE_INFINITY;
	let cancelHoldEnd: () => void = () => undefined;

	function logInvalidEntry(key: string, error: unknown): void {
		log.write('store-entry-refused', {entry: key, error: String(error)});
	}

	function readTarget({
		key,
		value,
	}: Pick<PublishedItem, 'key' | 'value'>): (TargetEntry & {readonly value: string}) | undefined {
		try {
			return {...decodeTarget(key, value!), value: value!};
		} catch (error) {
			logInvalidEntry(key, error);
			return undefined;
		}
	}

	function readConfiguration({
		key,
		value,
	}: Pick<PublishedItem, 'key' | 'value'>): ConfigurationEntry | undefined {
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

	const isEvacuated = (domain: string) => evacuations.isEvacuated(domain, clock.monotonic());

	function adoptConfiguration(): void {
		if (configurationEntry === undefined) {
			return;
		}

		const failureDomains: ConfigurationDocument['failureDomains'] = {};
		for (const domain of options.failureDomains) {
			failureDomains[domain] = {state: isEvacuated(domain) ? 'out' : 'in'};
		}

		configuration.adopt({...configurationEntry.document, failureDomains});
	}

	function handleConfiguration(item: Pick<PublishedItem, 'key' | 'value'>): void {
		const decoded = item.value === undefined ? undefined : readConfiguration(item);
		if (
			decoded === undefined ||
			decoded.document.version < (configurationEntry?.document.version ?? 0)
		) {
			return;
		}

		configurationEntry = decoded;
		configurationValue = item.value!;
		if (decoded.callerIdleTimeout !== undefined) {
			options.onCallerIdleTimeout(decoded.callerIdleTimeout);
		}
	}

	const domainOf = (key: string) => key.slice(storeKeys.evacuationPrefix.length);

	/**
	 * A failure domain is evacuated while the store has an evacuation item for it, whatever the
	 * value.
	 */
	function handleEvacuation(item: PublishedItem): void {
		if (item.value === undefined) {
			evacuations.remove(domainOf(item.key));
		} else {
			evacuations.add(domainOf(item.key));
		}
	}

	/**
	 * Puts the end of held evacuations in force, of which the store sends no change. A timer that
	 * fires early is set again.
	 */
	function scheduleHoldEnd(): void {
		cancelHoldEnd();
		const held = evacuations.held(clock.monotonic());
		if (held.length > 0) {
			const next = Math.min(...held.map(([, remaining]) => remaining));
			cancelHoldEnd = clock.after(next, () => {
				adoptConfiguration();
				scheduleHoldEnd();
			});
		}
	}

	function removeTarget(id: string): void {
		const known = listed.get(id);
		if (known !== undefined) {
			departedTargets.record(known, 'removed', known.value, clock.monotonic());
			listed.delete(id);
			directory.remove(id);
			log.write('target-unlisted', {target: id, service: known.service});
		}
	}

	/** A target that left stays so, whatever an older copy of the store says of that start. */
	function withDeparture<Target extends TargetEntry>(target: Target): Target {
		return mayBeOlderCopy && departedTargets.hasDeparted(target)
			? {...target, state: 'leaving'}
			: target;
	}

	/** Records that the target is leaving, or that an earlier start of it has ended. */
	function recordDepartures(target: TargetEntry & {readonly value: string}): void {
		const known = listed.get(target.id);
		if (known !== undefined && known.startTime < target.startTime) {
			departedTargets.record(known, 'leaving', known.value, clock.monotonic());
		}

		if (target.state === 'leaving') {
			departedTargets.record(target, 'leaving', target.value, clock.monotonic());
		}
	}

	function handleTarget(item: PublishedItem): void {
		const id = item.key.slice(storeKeys.targetPrefix.length);
		const entry = item.value === undefined ? undefined : readTarget(item);
		if (entry === undefined) {
			removeTarget(id);
			return;
		}

		if (isOutdated(entry)) {
			return;
		}

		recordDepartures(entry);
		const target = withDeparture(entry);
		listed.set(id, target);
		directory.addOrUpdate(target, clock.monotonic());
		log.write(target.state === 'ready' ? 'target-listed' : 'target-leaving', {
			target: `${id}@${target.startTime}`,
			service: target.service,
			address: target.address,
			coldFor: target.coldFor,
		});
	}

	/** Records a departure of which another instance knows. */
	function takeDeparture(
		item: Pick<PublishedItem, 'key' | 'value'>,
		state: RetainedItem['state'],
	): void {
		const departed = readTarget(item);
		if (departed === undefined) {
			return;
		}

		const now = clock.monotonic();
		const departure = state === 'removed' ? 'removed' : 'leaving';
		departedTargets.record(departed, departure, departed.value, now);
		const known = listed.get(departed.id);
		if (known !== undefined && withDeparture(known).state !== known.state) {
			const target = withDeparture(known);
			listed.set(target.id, target);
			directory.addOrUpdate(target, now);
		}
	}

	return {
		takeSnapshot(items, outageDuration, isNewEra = false) {
			const now = clock.monotonic();
			if (isNewEra) {
				mayBeOlderCopy = true;
				copyGraceEnd = now + missingEntryGrace;
			}

			// Another snapshot may follow while the targets check in again.
			const grace =
				outageDuration > outageThreshold ? missingEntryGrace : Math.max(0, copyGraceEnd - now);
			listedConfigurationValue = undefined;
			const evacuatedDomains: string[] = [];
			const targets: Array<TargetEntry & {readonly value: string}> = [];
			for (const item of items) {
				if (item.key.startsWith(storeKeys.targetPrefix)) {
					const target = readTarget(item);
					if (target !== undefined) {
						recordDepartures(target);
						// An older copy may have an entry that is older than the known one.
						const isOlder =
							mayBeOlderCopy && target.startTime !== unknownStartTime && isOutdated(target);
						targets.push(isOlder ? listed.get(target.id)! : withDeparture(target));
					}
				} else if (item.key.startsWith(storeKeys.evacuationPrefix)) {
					evacuatedDomains.push(domainOf(item.key));
				} else if (item.key === storeKeys.configuration) {
					listedConfigurationValue = item.value;
					handleConfiguration(item);
				}
			}

			listed.clear();
			for (const target of targets) {
				listed.set(target.id, target);
			}

			evacuations.replace(evacuatedDomains, isNewEra, now);
			directory.replace(targets, grace, now);
			adoptConfiguration();
			scheduleHoldEnd();
		},
		takeChange(item) {
			if (item.key.startsWith(storeKeys.targetPrefix)) {
				handleTarget(item);
			} else if (item.key.startsWith(storeKeys.evacuationPrefix)) {
				handleEvacuation(item);
				adoptConfiguration();
			} else if (item.key === storeKeys.configuration) {
				listedConfigurationValue = item.value;
				handleConfiguration(item);
				adoptConfiguration();
			}
		},
		retainedItems({version, isOfNewerEra}) {
			const now = clock.monotonic();
			const retained: RetainedItem[] = [];
			// Any other reader gets what the store lists with the other items.
			const isListed = !isOfNewerEra && configurationValue === listedConfigurationValue;
			if ((configurationEntry?.document.version ?? 0) > version && !isListed) {
				const key = storeKeys.configuration;
				retained.push({key, value: configurationValue, state: 'in-force'});
			}

			const listedDomains = isOfNewerEra ? evacuations.listed() : [];
			const evacuated = [
				...evacuations.held(now),
				...listedDomains.map(domain => [domain, evacuationHoldMs] as const),
			];
			for (const [domain, remaining] of evacuated) {
				const key = storeKeys.evacuationPrefix + domain;
				retained.push({key, value: '', state: 'in-force', expiresIn: Math.ceil(remaining)});
			}

			for (const {id, departure, value} of departedTargets.recent(now)) {
				const state = departure === 'removed' ? 'removed' : 'in-force';
				retained.push({key: storeKeys.targetPrefix + id, value, state});
			}

			return retained;
		},
		takeRetainedItems(items) {
			if (items.length === 0) {
				return;
			}

			mayBeOlderCopy = true;
			const now = clock.monotonic();
			for (const {key, value, state, expiresIn} of items) {
				if (key === storeKeys.configuration) {
					handleConfiguration({key, value});
				} else if (key.startsWith(storeKeys.evacuationPrefix)) {
					evacuations.hold(domainOf(key), expiresIn ?? 0, now);
				} else if (key.startsWith(storeKeys.targetPrefix)) {
					takeDeparture({key, value}, state);
				}
			}

			adoptConfiguration();
			scheduleHoldEnd();
		},
	};
}
