/**
 * Flags and environment variables of the program. Everything that the platform decides is in its
 * own settings file, which `--config` names.
 */
import {choiceSetting, numberSetting, textSetting} from '@shallotpond/kernel/setting-kinds';
import {logLevels} from '@shallotpond/observability/logger';

export const environmentPrefix = 'SHALLOTPOND';

export const programSettings = {
	config: textSetting({
		placeholder: 'path',
		description: 'Settings file of the platform',
		default: '/etc/shallotpond/node.json',
	}),
	'hedge-ratio': numberSetting(
		{min: 0, max: 1, unit: 'ratio'},
		{
			description:
				'Maximum number of second copies of late idempotent requests, per request of a service; ' +
				'0 for none, at most the retry ratio of the platform',
			default: '0',
		},
	),
	'log-level': choiceSetting(logLevels, {
		description: 'Lowest level of the log lines that are written',
		default: 'info',
	}),
} as const;
