/**
 * Settings of a binary, read from command-line flags and environment variables. A single table
 * describes them and drives parsing, `--help` and the operator documentation. A flag takes
 * precedence over its variable, and a variable over the default. All invalid settings are reported
 * at once.
 */
import {parseArgs} from 'node:util';
import {ShallotpondError} from './shallotpond-error.js';

export type Setting<Value> = {
	/** Form of the value in `--help`, for example `ip:port`. Undefined for a switch. */
	readonly placeholder?: string;
	readonly description: string;
	/** Default value in the syntax of the flag. */
	readonly default?: string;
	/** Whether a missing value is a problem; a setting that has no default is optional otherwise. */
	readonly isRequired?: boolean;
	/** Allowed values, worded to complete the sentence "must be ...". */
	readonly allowed: string;
	/** Returns undefined if the text is not allowed. */
	readonly parse: (text: string) => Value | undefined;
};

export type SettingsTable = Readonly<Record<string, Setting<unknown>>>;

export type SettingsValues<Table extends SettingsTable> = {
	readonly [Name in keyof Table]: Table[Name] extends
		{readonly default: string} | {readonly isRequired: true}
		? NonNullable<ReturnType<Table[Name]['parse']>>
		: ReturnType<Table[Name]['parse']> | undefined;
};

/** Thrown with the code `invalid-settings` and one message for each invalid setting. */
export class SettingsError extends ShallotpondError {
	readonly problems: readonly string[];

	constructor(problems: readonly string[]) {
		super('invalid-settings', problems.join('\n'));
		this.problems = problems;
	}
}

export type SettingsInput<Table extends SettingsTable> = {
	/** Settings by the name of the flag, in kebab case without leading dashes. */
	readonly table: Table;
	/** Prefix of the environment variables without the underscore, for example `SHALLOTPOND`. */
	readonly environmentPrefix: string;
	/** Arguments without the paths of Node.js and of the program. */
	readonly commandLine: readonly string[];
	readonly environment: Readonly<Record<string, string | undefined>>;
	/**
	 * Whether an unknown variable with the prefix is a problem. Must be off for a daemon, because
	 * platforms add variables that are prefixed with the name of the service.
	 */
	readonly refusesUnknownVariables?: boolean;
};

export type ParsedSettings<Table extends SettingsTable> = {
	readonly values: SettingsValues<Table>;
	readonly positionals: readonly string[];
};

/** Settings with all problems, for programs that reword or hide some of them. */
export type SettingsResult<Table extends SettingsTable> = ParsedSettings<Table> & {
	/** Names of the settings that were given as flags. */
	readonly flags: ReadonlySet<keyof Table & string>;
	/** Problems of flags and missing settings: first by command line, then by table order. */
	readonly flagProblems: readonly string[];
	readonly environmentProblems: readonly string[];
};

/** Returns the name of the environment variable that corresponds to a flag. */
export function environmentName(prefix: string, flag: string): string {
	return `${prefix}_${flag.replaceAll('-', '_').toUpperCase()}`;
}

type ParsedFlags = {
	readonly texts: ReadonlyMap<string, string>;
	readonly flags: ReadonlySet<string>;
	readonly positionals: readonly string[];
	readonly problems: readonly string[];
};

/**
 * Quotes a value for a message. Hides the user and password in a URL, which may have been given by
 * mistake.
 */
function quoteWithoutCredentials(text: string): string {
	return JSON.stringify(text.replace(/\/\/[^/@]*@/, '//***@'));
}

function readFlags(table: SettingsTable, commandLine: readonly string[]): ParsedFlags {
	const options: Record<string, {type: 'string' | 'boolean'}> = {};
	for (const [flag, setting] of Object.entries(table)) {
		options[flag] = {type: setting.placeholder === undefined ? 'boolean' : 'string'};
	}

	// Strict parsing would stop at the first problem.
	const {tokens, positionals} = parseArgs({
		args: [...commandLine],
		options,
		strict: false,
		allowPositionals: true,
		tokens: true,
	});
	const texts = new Map<string, string>();
	const flags = new Set<string>();
	const problems: string[] = [];
	for (const token of tokens) {
		if (token.kind !== 'option') {
			continue;
		}

		const {name, rawName, value, inlineValue} = token;
		if (!Object.hasOwn(table, name)) {
			problems.push(`${rawName}: is not a setting; see --help`);
			continue;
		}

		const setting = table[name]!;
		const isSwitch = setting.placeholder === undefined;
		// If the value was forgotten, non-strict parsing takes the next flag as the value. A value that
		// begins with `-` must therefore be given as `--flag=value`.
		const isNextFlag = !inlineValue && value?.startsWith('-') === true;
		flags.add(name);
		if (!isSwitch && (value === undefined || isNextFlag)) {
			problems.push(`--${name}: has no value; must be ${setting.allowed}`);
		} else {
			texts.set(name, value ?? 'true');
		}
	}

	return {texts, flags, positionals, problems};
}

function findUnknownVariables({
	table,
	environmentPrefix,
	environment,
}: SettingsInput<SettingsTable>): string[] {
	const known = new Set(Object.keys(table).map(flag => environmentName(environmentPrefix, flag)));
	return Object.keys(environment)
		.filter(name => name.startsWith(`${environmentPrefix}_`) && !known.has(name))
		.map(name => `${name}: is not a setting`);
}

/** Reads all settings without throwing. A setting with a problem is undefined. */
export function readSettings<Table extends SettingsTable>(
	input: SettingsInput<Table>,
): SettingsResult<Table> {
	const {table, environmentPrefix, environment} = input;
	const parsedFlags = readFlags(table, input.commandLine);
	const flagProblems = [...parsedFlags.problems];
	const environmentProblems =
		input.refusesUnknownVariables === true ? findUnknownVariables(input) : [];
	const values: Record<string, unknown> = {};

	for (const [flag, setting] of Object.entries(table)) {
		const variable = environmentName(environmentPrefix, flag);
		const isSetByFlag = parsedFlags.flags.has(flag);
		const text = isSetByFlag
			? parsedFlags.texts.get(flag)
			: (environment[variable] ?? setting.default);
		if (text === undefined) {
			if (setting.isRequired === true && !isSetByFlag) {
				flagProblems.push(`--${flag}: is missing (or ${variable}); must be ${setting.allowed}`);
			}

			continue;
		}

		const value = setting.parse(text);
		values[flag] = value;
		if (value === undefined) {
			const reason = `${quoteWithoutCredentials(text)} is not allowed; must be ${setting.allowed}`;
			if (isSetByFlag) {
				flagProblems.push(`--${flag}: ${reason}`);
			} else {
				environmentProblems.push(`--${flag} (from ${variable}): ${reason}`);
			}
		}
	}

	return {
		values: values as SettingsValues<Table>,
		positionals: parsedFlags.positionals,
		flags: parsedFlags.flags,
		flagProblems,
		environmentProblems,
	};
}

/** Reads all settings. Throws a `SettingsError` that names every invalid flag and variable. */
export function parseSettings<Table extends SettingsTable>(
	input: SettingsInput<Table>,
): ParsedSettings<Table> {
	const result = readSettings(input);
	const problems = [...result.environmentProblems, ...result.flagProblems];
	if (problems.length > 0) {
		throw new SettingsError(problems);
	}

	return result;
}

/** Formats the settings for `--help`, three lines each. */
export function formatSettingsHelp(table: SettingsTable, environmentPrefix: string): string {
	const lines: string[] = [];
	for (const [flag, setting] of Object.entries(table)) {
		const argument = setting.placeholder === undefined ? '' : ` <${setting.placeholder}>`;
		const defaultText = setting.default === undefined ? '' : `; default ${setting.default}`;
		const variable = environmentName(environmentPrefix, flag);
		lines.push(
			`  --${flag}${argument}`,
			`      ${setting.description}`,
			`      must be ${setting.allowed}${defaultText}; variable ${variable}`,
		);
	}

	return lines.join('\n');
}

/** Formats the settings as a Markdown table for the operator documentation. */
export function formatSettingsTable(table: SettingsTable, environmentPrefix: string): string {
	const rows = Object.entries(table).map(([flag, setting]) => {
		const cells = [
			`\`--${flag}\``,
			`\`${environmentName(environmentPrefix, flag)}\``,
			setting.default === undefined
				? setting.isRequired
					? 'required'
					: ''
				: `\`${setting.default}\``,
			setting.allowed,
			setting.description,
		];
		return `| ${cells.map(cell => cell.replaceAll('|', String.raw`\|`)).join(' | ')} |`;
	});
	return [
		'| flag | variable | default | allowed | meaning |',
		'|---|---|---|---|---|',
		...rows,
	].join('\n');
}
