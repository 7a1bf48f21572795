/**
 * Settings of the daemon. Each can be given as a command-line flag or as an environment variable.
 * Secrets belong in files or variables, because other users of the machine can see command lines.
 */
import {type ParsedSettings} from '@shallotpond/kernel/settings';
import {
	addressListSetting,
	addressSetting,
	choiceSetting,
	numberSetting,
	switchSetting,
	textSetting,
	urlSetting,
} from '@shallotpond/kernel/setting-kinds';
import {logFormats, logLevels} from '@shallotpond/observability/logger';

/** Prefix of the names of environment variables. */
export const environmentPrefix = 'SHALLOTPOND';

/** At most one hour. */
const durationBounds = {min: 0, max: 3_600_000, unit: 'ms'} as const;

/** Settings by flag, without the leading dashes. */
export const daemonSettings = {
	help: switchSetting('Print this help and exit.'),
	version: switchSetting('Print the version and exit.'),
	listen: addressSetting({
		description: 'Address for callers.',
		default: '127.0.0.1:8080',
	}),
	'peer-listen': addressSetting({
		description:
			'Address for other instances, which must be able to reach it under this IP address and port.',
		default: '127.0.0.1:7400',
	}),
	'admin-listen': addressSetting({
		description: 'Address for operators: /live, /ready, /status, /metrics and /drain.',
		default: '127.0.0.1:9400',
	}),
	'failure-domain': textSetting({
		description: 'Failure domain in which this instance runs.',
		default: 'local',
	}),
	'configuration-service': urlSetting({
		description: 'Base URL of the platform’s configuration service.',
		default: 'http://127.0.0.1:8500',
	}),
	peers: addressListSetting({
		description: 'Peer addresses to contact before the instance list has been read.',
	}),
	'peer-secret': textSetting({
		description:
			'Secret that all instances share; better set in an environment variable or a file.',
	}),
	'peer-secret-file': textSetting({
		placeholder: 'path',
		description: 'File whose first line is the shared secret.',
	}),
	'peer-tls-certificate': textSetting({
		placeholder: 'path',
		description: 'PEM certificate for connections between instances; needs key and authority too.',
	}),
	'peer-tls-key': textSetting({placeholder: 'path', description: 'PEM key of that certificate.'}),
	'peer-tls-authority': textSetting({
		placeholder: 'path',
		description: 'PEM certificate of the authority that signs the certificates of all instances.',
	}),
	'tls-certificate': textSetting({
		placeholder: 'path',
		description: 'PEM certificate for callers; reloaded on SIGHUP.',
	}),
	'tls-key': textSetting({placeholder: 'path', description: 'PEM key for callers.'}),
	'target-tls-authority': textSetting({
		placeholder: 'path',
		description:
			'PEM certificates of the authorities that sign those of targets; the system’s by default.',
	}),
	'drain-grace': numberSetting(durationBounds, {
		description: 'Time for which a stopping instance still accepts new requests.',
		default: '5000',
	}),
	'drain-limit': numberSetting(durationBounds, {
		description: 'Maximum time that a stopping instance waits for requests to end.',
		default: '600000',
	}),
	'caller-memory': numberSetting(
		{min: 16, max: 65_536, unit: 'MiB'},
		{
			description:
				'Memory that callers may make the process hold; beyond it, connections are closed.',
			default: '256',
		},
	),
	'log-format': choiceSetting(logFormats, {description: 'Format of log lines.', default: 'json'}),
	'log-level': choiceSetting(logLevels, {
		description: 'Minimum level of log lines.',
		default: 'info',
	}),
	'trace-endpoint': urlSetting({
		description: 'OTLP/HTTP collector, for example http://127.0.0.1:4318/v1/traces.',
	}),
	'trace-ratio': numberSetting(
		{min: 0, max: 1, unit: 'ratio'},
		{description: 'Fraction of new traces that is recorded.', default: '0.01'},
	),
} as const;

/** Parsed and validated values, by flag. */
export type DaemonSettings = ParsedSettings<typeof daemonSettings>['values'];
