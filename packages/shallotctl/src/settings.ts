/**
 * The table of all settings. The parser, `--help` and the names of the environment variables are
 * derived from it.
 */
import {choiceSetting, switchSetting} from '@shallotpond/kernel/setting-kinds';
import {type Setting, type SettingsValues} from '@shallotpond/kernel/settings';

export const environmentPrefix = 'SHALLOTCTL';

function createIntegerRange(range: {readonly min: number; readonly max: number}) {
	const {min, max} = range;
	return {
		allowed: `a whole number from ${min} to ${max}`,
		parse(text: string) {
			const value = /^\d{1,15}$/.test(text) ? Number(text) : Number.NaN;
			return value >= min && value <= max ? value : undefined;
		},
	} as const;
}

function parseBaseUrl(text: string): string | undefined {
	if (!URL.canParse(text)) {
		return undefined;
	}

	const {protocol, username, password, pathname, search, hash, origin} = new URL(text);
	const isBare = [username, password, search, hash].every(part => part === '') && pathname === '/';
	return protocol === 'http:' && isBare ? origin : undefined;
}

export const settingDefinitions = {
	admin: {
		placeholder: 'url',
		description: 'admin listener of an instance',
		allowed: 'a URL http://host:port without user, password and path',
		default: 'http://127.0.0.1:9400',
		parse: parseBaseUrl,
	},
	timeout: {
		placeholder: 'ms',
		description: 'timeout of one call to the admin listener, in milliseconds',
		default: '5000',
		...createIntegerRange({min: 1, max: 600_000}),
	},
	base: {
		placeholder: 'version',
		description: 'version that the patch is made against',
		...createIntegerRange({min: 1, max: 999_999_999}),
	},
	patch: {
		placeholder: 'file',
		description: 'file with an RFC 6902 patch',
		allowed: 'the path of a file',
		parse: (text: string) => (text === '' ? undefined : text),
	},
	current: {
		placeholder: 'file',
		description: 'file with the document in force, to compare with',
		allowed: 'the path of a file',
		parse: (text: string) => (text === '' ? undefined : text),
	},
	strict: {...switchSetting('exit with code 1 for warnings too'), default: 'false'},
	output: {
		...choiceSetting(['document', 'patch'], {
			description: 'print the new document, or the PATCH body to publish',
			default: 'document',
		}),
		allowed: 'document or patch',
	},
	interval: {
		placeholder: 'ms',
		description: 'time between two reads of a watch, in milliseconds',
		default: '1000',
		...createIntegerRange({min: 100, max: 3_600_000}),
	},
	count: {
		placeholder: 'reads',
		description: 'number of reads after which a watch ends; 0 for no limit',
		default: '0',
		...createIntegerRange({min: 0, max: 1_000_000}),
	},
	json: {...switchSetting('print JSON instead of tables'), default: 'false'},
	help: {...switchSetting('print this help'), default: 'false'},
	version: {...switchSetting('print the version of shallotctl'), default: 'false'},
} as const satisfies Readonly<Record<string, Setting<unknown>>>;

export type SettingName = keyof typeof settingDefinitions;

/** Parsed values. Settings without a default are undefined if they are not given. */
export type Settings = SettingsValues<typeof settingDefinitions>;

export const settingNames = Object.keys(settingDefinitions) as SettingName[];

/** Accepted by every command. */
export const commonSettings: readonly SettingName[] = ['json', 'help', 'version'];
