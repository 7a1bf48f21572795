/**
 * The program that runs on the machines of the platform. It reads its settings, follows the
 * platform's store and serves callers until a signal tells it to stop.
 */
import process from 'node:process';
import v8 from 'node:v8';
import {createGateway, type Gateway} from '@shallotpond/gateway/gateway';
import {createSystemClock, type Clock} from '@shallotpond/kernel/clock';
import {createMetrics} from '@shallotpond/observability/metrics';
import {createAdminListener, type AdminListener} from '@shallotpond/observability/admin-listener';
import {createEventLog} from '@shallotpond/observability/structured-log';
import {PlatformError} from '@shallotpond/io-platform/platform-error';
import {
	parseSettings,
	formatSettingsHelp,
	SettingsError,
	type SettingsValues,
} from '@shallotpond/kernel/settings';
import {limitsOfMachine} from './machine-limits.js';
import {platformDialect} from './platform-dialect.js';
import {programSettings, environmentPrefix} from './program-settings.js';
import {createPublishedItemReceiver} from './published-item-receiver.js';
import {readSettingsFile, type PlatformSettings} from './platform-settings.js';
import {createStoreClient} from './store-client.js';
import {platformPaths} from './wire-names.js';

/** Milliseconds between two reads of the settings file, which may change without a signal. */
const settingsInterval = 2000;
/** Ports in the internal range, as offsets from its first port. */
const internalPortOffsets = {datagrams: 0, metrics: 1, published: 2} as const;
/**
 * Milliseconds after which an idle connection to a target is closed; below the 10 s after which
 * targets close idle connections themselves.
 */
const targetIdleTimeout = 8500;
/** Milliseconds to connect to a target; a packet takes at most a few milliseconds one way. */
const connectTimeout = 300;
/**
 * Maximum bytes of a response that are held back before they are sent on, so that a broken response
 * can be fetched again.
 */
const maxHeldResponseBytes = 1_048_576;
/**
 * Milliseconds after which idle connections of callers are closed, until a configuration sets the
 * value.
 */
const callerIdleTimeout = 16_000;
/**
 * 0 turns repeated key checks off: a request that began before its key was withdrawn is completed;
 * requests that begin later are rejected.
 */
const keyCheckDisabled = 0;
const exitCodes = {ok: 0, failed: 1, usage: 2} as const;

async function startAdminListeners(
	settings: PlatformSettings,
	gateway: Gateway,
	metrics: ReturnType<typeof createMetrics>,
): Promise<AdminListener[]> {
	const commonOptions = {
		readyPath: platformPaths.ready,
		readiness() {
			const isReady = gateway.isReady();
			return {isReady, reason: isReady ? 'ready' : 'not-ready'};
		},
		status: () => ({
			version: gateway.configuration.version,
			confirmedAgo: gateway.configuration.confirmedAgo(),
			targets: gateway.directory.size,
			instances: gateway.fleet.roster.size,
		}),
		async metrics() {
			return {contentType: metrics.contentType, body: await metrics.render()};
		},
	};
	const metricsPort = settings.internalPorts[0] + internalPortOffsets.metrics;
	const listeners = [
		createAdminListener({...commonOptions, ...settings.readiness}),
		createAdminListener({...commonOptions, host: settings.address, port: metricsPort}),
	];
	for (const listener of listeners) {
		await listener.start();
	}

	return listeners;
}

/**
 * Reads the settings again at an interval and on SIGHUP. An invalid file leaves the old settings in
 * force.
 */
function followSettings(options: {
	readonly path: string;
	readonly clock: Clock;
	readonly onRead: (settings: PlatformSettings) => void;
	/** Called if the file cannot be read or is invalid. */
	readonly onError: (error: unknown) => void;
}): void {
	async function read(): Promise<void> {
		try {
			options.onRead(await readSettingsFile(options.path));
		} catch (error) {
			options.onError(error);
		}
	}

	options.clock.every(settingsInterval, () => {
		void read();
	});
	process.on('SIGHUP', () => {
		void read();
	});
}

/** Hedges are charged to the retry budget, so a higher ratio could never be used. */
function checkHedgeRatio(hedgeRatio: number, {retryBudget}: PlatformSettings): void {
	if (hedgeRatio > retryBudget.ratio) {
		throw new SettingsError([
			`--hedge-ratio: "${hedgeRatio}" is not allowed; must be ` +
				`a number from 0 to ${retryBudget.ratio}, the retry ratio of the platform`,
		]);
	}
}

async function serve({
	config: path,
	'log-level': logLevel,
	'hedge-ratio': hedgeRatio,
}: SettingsValues<typeof programSettings>): Promise<void> {
	const clock = createSystemClock();
	const {random} = Math;
	let settings = await readSettingsFile(path);
	checkHedgeRatio(hedgeRatio, settings);
	const metrics = createMetrics();
	const log = createEventLog({clock, instance: settings.instance, level: logLevel, metrics});
	const gateway = createGateway({
		clock,
		random,
		log,
		metrics,
		self: {
			address: settings.address,
			failureDomain: settings.failureDomain,
			startedAt: clock.wall().getTime(),
		},
		callers: settings.callers,
		ports: {
			datagrams: settings.internalPorts[0] + internalPortOffsets.datagrams,
			published: settings.internalPorts[0] + internalPortOffsets.published,
		},
		store: createStoreClient({
			address: () => settings.store,
			clock,
			countCall(call, status) {
				metrics.count('store-calls', 1, {call, status});
			},
			onMalformedEntries(count) {
				log.write('store-entry-refused', {count, error: 'no key, revision or value'});
			},
			onMalformedEra() {
				metrics.count('store-eras-refused');
			},
		}),
		createReceiver: state =>
			createPublishedItemReceiver({
				...state,
				clock,
				log,
				failureDomains: settings.failureDomains,
				floor: settings.floor,
				onCallerIdleTimeout: state.setCallerIdleTimeout,
			}),
		seeds: () => settings.seeds,
		dialect: platformDialect,
		httpLimits: {
			...limitsOfMachine({...settings, heap: v8.getHeapStatistics().heap_size_limit}),
			maxHeldResponseBytes,
			targetIdleTimeout,
			connectTimeout,
			keepAliveTimeout: callerIdleTimeout,
			keyCheckInterval: keyCheckDisabled,
		},
		revocationLimit: settings.revocationLimit,
		retryBudget: settings.retryBudget,
		hedgeRatio,
		rateBound: settings.rateBound,
		coldBound: settings.coldBound,
		stopLimit: settings.stopLimit,
		isFirstStart: settings.isFirstStart,
	});
	// Only the seeds and the address of the store are read again at each use. Changes of all other
	// settings take effect at the next start.
	let appliedSettings = JSON.stringify(settings);
	followSettings({
		path,
		clock,
		onRead(newSettings) {
			const text = JSON.stringify(newSettings);
			if (text !== appliedSettings) {
				appliedSettings = text;
				settings = newSettings;
				log.write('settings-reloaded', {seeds: newSettings.seeds});
			}
		},
		onError(error) {
			log.write('settings-refused', {error: String(error)});
		},
	});
	// The signal handlers are installed before the first request can arrive, because without a
	// handler a signal ends the process at once. They stay, because the signal may be repeated while
	// the last requests are completed.
	const stopSignal = new Promise<void>(resolve => {
		process.on('SIGTERM', resolve);
		process.on('SIGINT', resolve);
	});
	// The process holds nothing that an error in one callback could damage for others, and its end
	// would cut off all requests in progress.
	process.on('uncaughtException', error => {
		metrics.count('internal-errors');
		log.write('internal-error', {place: 'process', error: String(error.stack ?? error)});
	});
	await gateway.start();
	await startAdminListeners(settings, gateway, metrics);
	await stopSignal;
	await gateway.stop();
}

type Output = (text: string) => void;

/** Runs the program and returns its exit code. */
export async function runPlatformProgram(
	commandLine: readonly string[],
	environment: Readonly<Record<string, string | undefined>>,
	output: {readonly write: Output; readonly writeError: Output},
): Promise<number> {
	const input = {table: programSettings, environmentPrefix, commandLine, environment};
	if (commandLine.includes('--help')) {
		const settings = formatSettingsHelp(programSettings, environmentPrefix);
		output.write(`Usage: shallotpond [flags]\n\n${settings}\n`);
		return exitCodes.ok;
	}

	try {
		const {values} = parseSettings(input);
		await serve(values);
		return exitCodes.ok;
	} catch (error) {
		if (error instanceof SettingsError || error instanceof PlatformError) {
			output.writeError(`${error.message}\n`);
			return exitCodes.usage;
		}

		output.writeError(`${error instanceof Error ? error.stack : String(error)}\n`);
		return exitCodes.failed;
	}
}
