/**
 * Reads what the platform publishes: configuration documents and the list of instances and targets.
 * A few instances watch the configuration service; the others poll it at long intervals and get new
 * versions from their peers.
 */
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {type InstanceList} from '@shallotpond/configuration/instance-list';
import {type Clock} from '@shallotpond/kernel/clock';
import {type KernelService} from '@shallotpond/kernel/kernel';
import {type Random} from '@shallotpond/kernel/random';
import {
	createConfigurationClient,
	type ConfigurationClientMode,
} from '@shallotpond/io-platform/configuration-client';
import {createInstanceListClient} from '@shallotpond/io-platform/instance-list-client';
import {type PlatformError} from '@shallotpond/io-platform/platform-error';
import {type Metrics} from '@shallotpond/observability/metrics';
import {isolationTimeout} from '@shallotpond/policy-membership/timing';
import {type CurrentConfiguration} from './current-configuration.js';

export type PlatformClientService = KernelService & {
	/**
	 * Sets whether this instance watches or polls the configuration service, and how often it reads
	 * the instance list. Also reads both now, within the call budget, unless a call is in progress.
	 */
	setConfigurationMode(mode: ConfigurationClientMode): void;
	/** Polls the configuration service now, within the call budget. Does nothing during a call. */
	refresh(): void;
};

export type PlatformClientServiceOptions = {
	/** Base URL of the platform. */
	readonly url: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly configuration: CurrentConfiguration;
	readonly metrics: Metrics;
	/** Called with each document of a higher version than the current one. */
	readonly onDocument: (document: ConfigurationDocument) => void;
	/** Called when the configuration service has responded that it has no higher version. */
	readonly onUnchanged: () => void;
	/** Called after each failed call to the configuration service. */
	readonly onFailure: () => void;
	/** Called with each instance list that was read. */
	readonly onList: (list: InstanceList) => void;
};

/**
 * Mean intervals between two reads of the instance list, by mode. The instances that watch announce
 * changes to the others, so that the number of frequent reads grows with the number of failure
 * domains and not with the fleet.
 */
const listPollIntervalsMs: Readonly<Record<ConfigurationClientMode, number>> = {
	watch: 1000,
	poll: 30_000,
};

/** Long, because the configuration distribution decides when to poll and then calls `refresh`. */
const configurationPollIntervalMs = 3_600_000;

/**
 * A watch shows contact with the service only when it ends, so it must end at least twice within
 * the time after which an instance without contact counts as isolated.
 */
export const watchWaitMs = isolationTimeout / 2.5;

export function createPlatformClientService(
	options: PlatformClientServiceOptions,
): PlatformClientService {
	const {url, clock, random, configuration, metrics, onDocument, onUnchanged, onList} = options;

	const createFailureCounter = (call: string) => (error: PlatformError) => {
		metrics.count('platform-failures', 1, {call, code: error.code});
	};

	const configurationClient = createConfigurationClient({
		url,
		clock,
		random,
		current: () =>
			configuration.version === 0
				? undefined
				: {version: configuration.version, digest: configuration.digest},
		onDocument,
		onUnchanged,
		onFailure(error) {
			createFailureCounter('configuration')(error);
			options.onFailure();
		},
		pollInterval: configurationPollIntervalMs,
		watchWait: watchWaitMs,
	});
	const instanceListClient = createInstanceListClient({
		url,
		clock,
		random,
		onList,
		onFailure: createFailureCounter('instances'),
		pollInterval: listPollIntervalsMs.poll,
	});
	metrics.registerGauge(
		'configuration_reads',
		'Calls to the configuration service',
		() => configurationClient.status.calls,
	);

	return {
		start() {
			configurationClient.start();
			instanceListClient.start();
		},
		async stop() {
			await Promise.all([configurationClient.stop(), instanceListClient.stop()]);
		},
		setConfigurationMode(mode) {
			configurationClient.setMode(mode);
			instanceListClient.setPollInterval(listPollIntervalsMs[mode]);
		},
		refresh() {
			configurationClient.refresh();
		},
	};
}
