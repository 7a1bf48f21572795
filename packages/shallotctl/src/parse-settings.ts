/**
 * Reads settings from flags and environment variables; flags take precedence. Collects every
 * problem instead of stopping at the first.
 */
import {parseArgs} from 'node:util';
import {
	commonSettings,
	environmentNameOf,
	findUnknownEnvironment,
	settingDefinitions,
	settingNames,
	type SettingDefinition,
	type SettingName,
	type Settings,
} from './settings.js';

export type ParsedArguments = {
	/** The command's name and its operands. */
	readonly positionals: readonly string[];
	readonly settings: Settings;
	/** Settings that were given as flags. */
	readonly flags: ReadonlySet<SettingName>;
	/** Problems of flags. */
	readonly problems: readonly string[];
	/** Problems of environment variables. */
	readonly environmentProblems: readonly string[];
};

type Token = NonNullable<ReturnType<typeof tokenize>['tokens']>[number];

function tokenize(args: readonly string[]) {
	const options = Object.fromEntries(
		settingNames.map(name => [name, {type: settingDefinitions[name].type}]),
	);
	// Not strict, because strict parsing stops at the first problem.
	return parseArgs({args: [...args], options, strict: false, allowPositionals: true, tokens: true});
}

function isSettingName(name: string): name is SettingName {
	return Object.hasOwn(settingDefinitions, name);
}

/** Hides a user and password in a URL, which may be given by mistake. */
function quote(text: string): string {
	return JSON.stringify(text.replace(/\/\/[^/@]*@/, '//***@'));
}

/** The text of a flag, or a problem. */
function readFlag(name: SettingName, token: Token): {text?: string; problem?: string} {
	const {type, allowed} = settingDefinitions[name];
	const value = token.kind === 'option' ? token.value : undefined;
	if (type === 'boolean') {
		return {text: value ?? 'true'};
	}

	const isFlagInstead = token.kind === 'option' && !token.inlineValue && value?.startsWith('-');
	if (value === undefined || isFlagInstead) {
		return {problem: `--${name}: has no value; must be ${allowed}`};
	}

	return {text: value};
}

function readFlags(tokens: readonly Token[], problems: string[]): Map<SettingName, string> {
	const texts = new Map<SettingName, string>();
	for (const token of tokens) {
		if (token.kind !== 'option') {
			continue;
		}

		if (!isSettingName(token.name)) {
			problems.push(`${token.rawName}: is not a setting; see shallotctl --help`);
			continue;
		}

		const {text, problem} = readFlag(token.name, token);
		if (problem !== undefined) {
			problems.push(problem);
		} else if (text !== undefined) {
			texts.set(token.name, text);
		}
	}

	return texts;
}

export function parseSettings(
	args: readonly string[],
	environment: Readonly<NodeJS.ProcessEnv>,
): ParsedArguments {
	const {tokens, positionals} = tokenize(args);
	const problems: string[] = [];
	const environmentProblems = findUnknownEnvironment(environment).map(
		name => `${name}: is not a setting`,
	);
	const flags = readFlags(tokens ?? [], problems);
	const values: Record<string, unknown> = {};
	for (const name of settingNames) {
		const definition: SettingDefinition = settingDefinitions[name];
		const variable = environmentNameOf(name);
		const text = flags.get(name) ?? environment[variable] ?? definition.default;
		const value = text === undefined ? undefined : definition.parse(text);
		if (text !== undefined && value === undefined) {
			const reason = `${quote(text)} is not allowed; must be ${definition.allowed}`;
			if (flags.has(name)) {
				problems.push(`--${name}: ${reason}`);
			} else {
				environmentProblems.push(`--${name} (from ${variable}): ${reason}`);
			}
		}

		values[name] = value;
	}

	return {
		positionals,
		settings: values as Settings,
		flags: new Set(flags.keys()),
		problems,
		environmentProblems,
	};
}

/** Problems of settings that a command needs or does not take. */
export function checkCommandSettings(
	parsed: ParsedArguments,
	command: {
		readonly name: string;
		readonly settings: readonly SettingName[];
		readonly required: readonly SettingName[];
	},
): string[] {
	const accepted = new Set([...command.settings, ...commonSettings]);
	const needless = [...parsed.flags]
		.filter(name => !accepted.has(name))
		.map(name => `--${name}: is not a setting of ${command.name}`);
	const isReported = (name: SettingName) =>
		[...parsed.problems, ...parsed.environmentProblems].some(problem =>
			problem.startsWith(`--${name}`),
		);
	const missing = command.required
		.filter(name => parsed.settings[name] === undefined && !isReported(name))
		.map(name => `--${name}: is missing; must be ${settingDefinitions[name].allowed}`);
	return [...needless, ...missing];
}
