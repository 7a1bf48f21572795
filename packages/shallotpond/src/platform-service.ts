/**
 * Reads what the platform publishes: configuration documents and the list of instances and targets.
 * A few instances watch the configuration service; the others poll it now and then and get new
 * versions from their peers.
 */
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {type InstanceList} from '@shallotpond/configuration/instance-list';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Service} from '@shallotpond/kernel/kernel';
import {type Random} from '@shallotpond/kernel/random';
import {
	createConfigurationClient,
	type ConfigurationClientMode,
} from '@shallotpond/io-platform/configuration-client';
import {createInstanceListClient} from '@shallotpond/io-platform/instance-list-client';
import {type PlatformError} from '@shallotpond/io-platform/platform-error';
import {type Metrics} from '@shallotpond/observability/metrics';
import {isolationTimeout} from '@shallotpond/policy-membership/timing';
import {type ConfigurationStore} from './configuration-store.js';

export type PlatformService = Service & {
	setMode(mode: ConfigurationClientMode): void;
	/** Asks the configuration service now, within the call budget. */
	refresh(): void;
};

export type PlatformServiceOptions = {
	readonly url: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly configuration: ConfigurationStore;
	readonly metrics: Metrics;
	readonly onDocument: (document: ConfigurationDocument) => void;
	readonly onUnchanged: () => void;
	readonly onFailure: () => void;
	readonly onList: (list: InstanceList) => void;
};

/**
 * Milliseconds between two reads of the instance list. Watchers tell the others of changes, so that
 * the reads grow with the failure domains and not with the fleet.
 */
const listIntervals: Readonly<Record<ConfigurationClientMode, number>> = {
	watch: 1000,
	poll: 30_000,
};

/** The decisions on the spread of configuration say when to poll, so the client need not. */
const pollInterval = 3_600_000;

/**
 * A watch shows contact only when it ends, so it must end several times within the time after
 * which an instance without contact counts as isolated.
 */
export const watchWait = isolationTimeout / 2.5;

export function createPlatformService(options: PlatformServiceOptions): PlatformService {
	const {url, clock, random, configuration, metrics, onDocument, onUnchanged, onList} = options;

	const countFailure = (call: string) => (error: PlatformError) => {
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
			countFailure('configuration')(error);
			options.onFailure();
		},
		pollInterval,
		watchWait,
	});
	const instanceListClient = createInstanceListClient({
		url,
		clock,
		random,
		onList,
		onFailure: countFailure('instances'),
		pollInterval: listIntervals.poll,
	});
	metrics.gauge(
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
		setMode(mode) {
			configurationClient.setMode(mode);
			instanceListClient.setPollInterval(listIntervals[mode]);
		},
		refresh() {
			configurationClient.refresh();
		},
	};
}
