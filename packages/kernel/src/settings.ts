/**
 * Settings of a binary, from flags and environment variables. One table describes them; parsing,
 * `--help` and the page for operators are made from it. A flag goes before its variable, and a
 * variable goes before the default. All wrong settings are reported at once.
 */
import {parseArgs} from 'node:util';
import {ShallotpondError} from './shallotpond-error.js';

export type Setting<Value> = {
	/** What the value looks like in `--help`, for example `ip:port`. Undefined for a switch. */
	readonly placeholder?: string;
	readonly description: string;
	/** As it would be written in the flag. Without it, the setting is optional. */
	readonly default?: string;
	readonly isRequired?: boolean;
	/** What is allowed, as it ends the sentence "must be ...". */
	readonly allowed: string;
	/** Undefined when the text is not allowed. */
	readonly parse: (text: string) => Value | undefined;
};

export type SettingsTable = Readonly<Record<string, Setting<unknown>>>;

export type SettingsValues<Table extends SettingsTable> = {
	readonly [Name in keyof Table]: Table[Name] extends
		{readonly default: string} | {readonly isRequired: true}
		? NonNullable<ReturnType<Table[Name]['parse']>>
		: ReturnType<Table[Name]['parse']> | undefined;
};

export class SettingsError extends ShallotpondError {
	readonly problems: readonly string[];

	constructor(problems: readonly string[]) {
		super('invalid-settings', problems.join('\n'));
		this.problems = problems;
	}
}

export type SettingsInput<Table extends SettingsTable> = {
	/** By the name of the flag without dashes, in kebab case. */
	readonly table: Table;
	/** For example `SHALLOTPOND`. */
	readonly environmentPrefix: string;
	readonly commandLine: readonly string[];
	readonly environment: Readonly<Record<string, string | undefined>>;
	/**
	 * Whether a variable with the prefix that is no setting is a problem. A daemon must leave it off,
	 * because platforms add variables with the name of a service as their prefix.
	 */
	readonly refusesUnknownVariables?: boolean;
};

export type ParsedSettings<Table extends SettingsTable> = {
	readonly values: SettingsValues<Table>;
	readonly positionals: readonly string[];
};

/** Settings with all problems, for programs that word or hide some of them. */
export type SettingsResult<Table extends SettingsTable> = ParsedSettings<Table> & {
	/** Settings that were given as flags. */
	readonly flags: ReadonlySet<keyof Table & string>;
	/** Problems of flags, in the order of the command line and then of the table. */
	readonly flagProblems: readonly string[];
	readonly environmentProblems: readonly string[];
};

export function environmentName(prefix: string, flag: string): string {
	return `${prefix}_${flag.replaceAll('-', '_').toUpperCase()}`;
}

type FlagReading = {
	readonly texts: ReadonlyMap<string, string>;
	readonly flags: ReadonlySet<string>;
	readonly positionals: readonly string[];
	readonly problems: readonly string[];
};

/** Hides a user and password in a URL, which may be given by mistake. */
function quote(text: string): string {
	return JSON.stringify(text.replace(/\/\/[^/@]*@/, '//***@'));
}

function readFlags(table: SettingsTable, commandLine: readonly string[]): FlagReading {
	const options: Record<string, {type: 'string' | 'boolean'}> = {};
	for (const [flag, setting] of Object.entries(table)) {
		options[flag] = {type: setting.placeholder === undefined ? 'boolean' : 'string'};
	}

	// Not strict, because strict parsing stops at the first problem.
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
		const isFlagInstead = !inlineValue && value?.startsWith('-') === true;
		flags.add(name);
		if (!isSwitch && (value === undefined || isFlagInstead)) {
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

/** Never throws; a setting with a problem is undefined. */
export function readSettings<Table extends SettingsTable>(
	input: SettingsInput<Table>,
): SettingsResult<Table> {
	const {table, environmentPrefix, environment} = input;
	const read = readFlags(table, input.commandLine);
	const flagProblems = [...read.problems];
	const environmentProblems =
		input.refusesUnknownVariables === true ? findUnknownVariables(input) : [];
	const values: Record<string, unknown> = {};

	for (const [flag, setting] of Object.entries(table)) {
		const variable = environmentName(environmentPrefix, flag);
		const isFlag = read.flags.has(flag);
		const text = isFlag ? read.texts.get(flag) : (environment[variable] ?? setting.default);
		if (text === undefined) {
			if (setting.isRequired === true && !isFlag) {
				flagProblems.push(`--${flag}: is missing (or ${variable}); must be ${setting.allowed}`);
			}

			continue;
		}

		const value = setting.parse(text);
		values[flag] = value;
		if (value === undefined) {
			const reason = `${quote(text)} is not allowed; must be ${setting.allowed}`;
			if (isFlag) {
				flagProblems.push(`--${flag}: ${reason}`);
			} else {
				environmentProblems.push(`--${flag} (from ${variable}): ${reason}`);
			}
		}
	}

	return {
		values: values as SettingsValues<Table>,
		positionals: read.positionals,
		flags: read.flags,
		flagProblems,
		environmentProblems,
	};
}

/** Throws a `SettingsError` that names every wrong flag and variable. */
export function parseSettings<Table extends SettingsTable>(
	input: SettingsInput<Table>,
): ParsedSettings<Table> {
	const reading = readSettings(input);
	const problems = [...reading.environmentProblems, ...reading.flagProblems];
	if (problems.length > 0) {
		throw new SettingsError(problems);
	}

	return reading;
}

/** One line for each setting, for `--help`. */
export function describeSettings(table: SettingsTable, environmentPrefix: string): string {
	const lines: string[] = [];
	for (const [flag, setting] of Object.entries(table)) {
		const argument = setting.placeholder === undefined ? '' : ` <${setting.placeholder}>`;
		const fallback = setting.default === undefined ? '' : `; default ${setting.default}`;
		const variable = environmentName(environmentPrefix, flag);
		lines.push(
			`  --${flag}${argument}`,
			`      ${setting.description}`,
			`      must be ${setting.allowed}${fallback}; variable ${variable}`,
		);
	}

	return lines.join('\n');
}

/** The same as a Markdown table, for the page for operators. */
export function tabulateSettings(table: SettingsTable, environmentPrefix: string): string {
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
