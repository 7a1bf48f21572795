/**
 * Runs one instance as a process: reads the files named in the settings, handles signals, and
 * returns when the instance has stopped.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {createTlsContext, type TlsContext} from '@shallotpond/io-http/tls-context';
import {type PeerTls} from '@shallotpond/io-peer/peer-network';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {createMailbox} from '@shallotpond/kernel/mailbox';
import {SettingsError} from '@shallotpond/kernel/settings';
import {formatSocketAddress} from '@shallotpond/kernel/setting-kinds';
import {createLogger} from '@shallotpond/observability/logger';
import {createMetrics} from '@shallotpond/observability/metrics';
import {createTracing} from '@shallotpond/observability/tracing';
import {DaemonError} from './daemon-error.js';
import {type DaemonSettings} from './daemon-settings.js';
import {createInstance} from './instance.js';

const bytesPerMebibyte = 1_048_576;

type ControlMessage = {readonly kind: 'reload-certificates'};

async function readText(path: string): Promise<string> {
	try {
		return await readFile(path, 'utf8');
	} catch (error) {
		throw new DaemonError('unreadable-file', `cannot read "${path}"`, {cause: error});
	}
}

/** Throws a `SettingsError` if settings that are valid on their own do not fit together. */
function validateCombinations(settings: DaemonSettings): void {
	const problems: string[] = [];
	const flagGroups = [
		['tls-certificate', 'tls-key'],
		['peer-tls-certificate', 'peer-tls-key', 'peer-tls-authority'],
	] as const;
	for (const group of flagGroups) {
		const givenFlags = group.filter(flag => settings[flag] !== undefined);
		if (givenFlags.length > 0 && givenFlags.length < group.length) {
			problems.push(`${group.map(flag => `--${flag}`).join(', ')}: must be given together`);
		}
	}

	if ((settings['peer-secret'] === undefined) === (settings['peer-secret-file'] === undefined)) {
		problems.push('--peer-secret, --peer-secret-file: exactly one of them is required');
	}

	if (problems.length > 0) {
		throw new SettingsError(problems);
	}
}

async function readPeerSecret(settings: DaemonSettings): Promise<string> {
	const path = settings['peer-secret-file'];
	const secret = path === undefined ? settings['peer-secret'] : await readText(path);
	const [firstLine = ''] = (secret ?? '').split('\n', 1);
	if (firstLine === '') {
		throw new DaemonError('empty-secret', 'the first line of the peer secret is empty');
	}

	return firstLine;
}

async function readPeerTls(settings: DaemonSettings): Promise<PeerTls | undefined> {
	const certificate = settings['peer-tls-certificate'];
	const key = settings['peer-tls-key'];
	const authority = settings['peer-tls-authority'];
	if (certificate === undefined || key === undefined || authority === undefined) {
		return undefined;
	}

	return {
		certificate: await readText(certificate),
		key: await readText(key),
		authority: await readText(authority),
	};
}

async function readCallerTls(settings: DaemonSettings): Promise<TlsContext | undefined> {
	const certificate = settings['tls-certificate'];
	const key = settings['tls-key'];
	return certificate === undefined || key === undefined
		? undefined
		: createTlsContext({certificate, key});
}

/**
 * Resolves when the daemon has stopped after SIGINT, SIGTERM or `POST /drain`. Rejects with a
 * `SettingsError` if settings do not fit together, a `DaemonError` if a file cannot be read or the
 * peer secret is empty, an `HttpError` if the certificate for callers cannot be loaded, and a
 * `PeerError` or a `KernelError` if a port cannot be bound.
 */
export async function runDaemon(settings: DaemonSettings): Promise<void> {
	validateCombinations(settings);
	const peerAddress = formatSocketAddress(settings['peer-listen']);
	const logger = createLogger({
		format: settings['log-format'],
		level: settings['log-level'],
		instance: peerAddress,
	});
	const callerTls = await readCallerTls(settings);
	const peerTls = await readPeerTls(settings);
	const targetAuthorityPath = settings['target-tls-authority'];
	const instance = await createInstance({
		listen: settings.listen,
		peerListen: settings['peer-listen'],
		adminListen: settings['admin-listen'],
		failureDomain: settings['failure-domain'],
		configurationService: settings['configuration-service'],
		seedAddresses: (settings.peers ?? []).map(address => formatSocketAddress(address)),
		peerSecret: await readPeerSecret(settings),
		...(peerTls && {peerTls}),
		...(callerTls && {tls: callerTls}),
		...(targetAuthorityPath !== undefined && {
			targetTls: {authorities: await readText(targetAuthorityPath)},
		}),
		httpLimits: {
			stopTimeout: settings['drain-limit'],
			maxHeldBytes: settings['caller-memory'] * bytesPerMebibyte,
		},
		drainGrace: settings['drain-grace'],
		clock: createSystemClock(),
		random: Math.random,
		logger,
		metrics: createMetrics(),
		tracing: createTracing({
			...(settings['trace-endpoint'] !== undefined && {endpoint: settings['trace-endpoint']}),
			sampleRatio: settings['trace-ratio'],
			instance: peerAddress,
		}),
	});

	// Handles one reload at a time, so that two signals in a row do not interleave their reads of
	// certificate and key.
	const controlMailbox = createMailbox<ControlMessage, undefined>({
		context: undefined,
		handlers: {
			async 'reload-certificates'() {
				await callerTls?.reload();
				logger.info('certificates reloaded');
			},
		},
		onError(error) {
			logger.error('certificate reload failed; the previous certificates stay in use', {
				error: String(error),
			});
		},
	});

	await instance.start();
	process.on('SIGHUP', () => {
		controlMailbox.send({kind: 'reload-certificates'});
	});
	await stopOnSignal(async () => instance.stop(), instance.stopped);
}

/** Calls `stop` on the first SIGINT or SIGTERM, and resolves when `stopped` does. */
export async function stopOnSignal(
	stop: () => Promise<void>,
	stopped: Promise<void>,
): Promise<void> {
	let isStopping = false;
	function beginStop(): void {
		if (!isStopping) {
			isStopping = true;
			void stop();
		}
	}

	// The handler of SIGTERM stays, because without one a second SIGTERM would end the process at
	// once. A second SIGINT, from a user at a terminal, may end the process at once.
	process.on('SIGTERM', beginStop);
	process.once('SIGINT', beginStop);

	// The timers of the clock do not keep the process alive, but a graceful stop needs them to fire.
	const keepAliveTimer = setInterval(() => undefined, 1_000_000);
	await stopped;
	clearInterval(keepAliveTimer);
}
