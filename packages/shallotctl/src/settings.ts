/**
 * The table of all settings. Parsing, `--help` and the names of the environment variables are
 * derived from it.
 */

/** Returns the value, or undefined when the text is not allowed. */
type SettingParser = (text: string) => string | number | boolean | undefined;

export type SettingDefinition = {
	readonly type: 'string' | 'boolean';
	/** Placeholder of the value in `--help`; empty for switches. */
	readonly placeholder: string;
	readonly summary: string;
	/** What is allowed, as it ends the sentence "must be ...". */
	readonly allowed: string;
	readonly default: string | undefined;
	readonly parse: SettingParser;
};

const environmentPrefix = 'SHALLOTCTL_';

const wholeNumber =
	(minimum: number, maximum: number): SettingParser =>
	text => {
		const value = /^\d{1,15}$/.test(text) ? Number(text) : Number.NaN;
		return value >= minimum && value <= maximum ? value : undefined;
	};

const isOn: SettingParser = text =>
	['true', 'false'].includes(text) ? text === 'true' : undefined;

function baseUrl(text: string): string | undefined {
	if (!URL.canParse(text)) {
		return undefined;
	}

	const {protocol, username, password, pathname, search, hash, origin} = new URL(text);
	const isBare = [username, password, search, hash].every(part => part === '') && pathname === '/';
	return protocol === 'http:' && isBare ? origin : undefined;
}

const switchTo = (summary: string): SettingDefinition => ({
	type: 'boolean',
	placeholder: '',
	summary,
	allowed: 'true or false',
	default: 'false',
	parse: isOn,
});

const file = (summary: string): SettingDefinition => ({
	type: 'string',
	placeholder: '<file>',
	summary,
	allowed: 'the path of a file',
	default: undefined,
	parse: text => (text === '' ? undefined : text),
});

export const settingDefinitions = {
	admin: {
		type: 'string',
		placeholder: '<url>',
		summary: 'admin listener of an instance',
		allowed: 'a URL http://host:port without user, password and path',
		default: 'http://127.0.0.1:9400',
		parse: baseUrl,
	},
	timeout: {
		type: 'string',
		placeholder: '<ms>',
		summary: 'time for one call to the admin listener, in milliseconds',
		allowed: 'a whole number from 1 to 600000',
		default: '5000',
		parse: wholeNumber(1, 600_000),
	},
	base: {
		type: 'string',
		placeholder: '<version>',
		summary: 'version that the patch is made against',
		allowed: 'a whole number from 1 to 999999999',
		default: undefined,
		parse: wholeNumber(1, 999_999_999),
	},
	patch: file('file with an RFC 6902 patch'),
	output: {
		type: 'string',
		placeholder: '<what>',
		summary: 'print the new document, or the PATCH body to publish',
		allowed: 'document or patch',
		default: 'document',
		parse: text => (['document', 'patch'].includes(text) ? text : undefined),
	},
	interval: {
		type: 'string',
		placeholder: '<ms>',
		summary: 'time between two reads of a watch, in milliseconds',
		allowed: 'a whole number from 100 to 3600000',
		default: '1000',
		parse: wholeNumber(100, 3_600_000),
	},
	count: {
		type: 'string',
		placeholder: '<reads>',
		summary: 'reads until a watch ends; 0 goes on until it is interrupted',
		allowed: 'a whole number from 0 to 1000000',
		default: '0',
		parse: wholeNumber(0, 1_000_000),
	},
	json: switchTo('print JSON instead of tables'),
	help: switchTo('print this help'),
	version: switchTo('print the version of shallotctl'),
} as const satisfies Readonly<Record<string, SettingDefinition>>;

export type SettingName = keyof typeof settingDefinitions;

/** Values after parsing. Settings without a default are undefined when they are not given. */
export type Settings = {
	readonly admin: string;
	/** Milliseconds. */
	readonly timeout: number;
	readonly base: number | undefined;
	readonly patch: string | undefined;
	readonly output: 'document' | 'patch';
	/** Milliseconds. */
	readonly interval: number;
	readonly count: number;
	readonly json: boolean;
	readonly help: boolean;
	readonly version: boolean;
};

export const settingNames = Object.keys(settingDefinitions) as SettingName[];

/** Accepted with every command. */
export const commonSettings: readonly SettingName[] = ['json', 'help', 'version'];

/** `SHALLOTCTL_TIMEOUT` for `timeout`. */
export function environmentNameOf(name: SettingName): string {
	return `${environmentPrefix}${name.toUpperCase()}`;
}

/** Names in the environment that look like settings and are none. */
export function findUnknownEnvironment(environment: Readonly<NodeJS.ProcessEnv>): string[] {
	const known = new Set(settingNames.map(name => environmentNameOf(name)));
	return Object.keys(environment).filter(
		name => name.startsWith(environmentPrefix) && !known.has(name),
	);
}
