/**
 * Help texts, generated from the tables of commands and settings.
 */
import {type Command} from './command.js';
import {commands} from './commands.js';
import {
	commonSettings,
	environmentNameOf,
	settingDefinitions,
	settingNames,
	type SettingDefinition,
	type SettingName,
} from './settings.js';

const exitCodeHelp = [
	'Exit codes:',
	'  0  success',
	'  1  a check failed or something was refused',
	'  2  wrong usage',
	'  3  the admin listener is not reachable',
];

/** For example `check <file>`. */
export function describeUsage(name: string, command: Command): string {
	const required = command.required.map(
		setting => `--${setting} ${settingDefinitions[setting].placeholder}`,
	);
	return [name, ...command.operands.map(operand => `<${operand}>`), ...required].join(' ');
}

function describeSetting(name: SettingName): string[] {
	const definition: SettingDefinition = settingDefinitions[name];
	const initial = definition.default === undefined ? '' : `; default ${definition.default}`;
	return [
		`  --${name} ${definition.placeholder}`.trimEnd(),
		`      ${definition.summary}`,
		`      must be ${definition.allowed}${initial}; variable ${environmentNameOf(name)}`,
	];
}

function describeSettings(names: readonly SettingName[]): string[] {
	return [
		'Settings (flags take precedence over variables):',
		...names.flatMap(name => describeSetting(name)),
	];
}

export function formatHelp(): string {
	const usages = [...commands].map(([name, command]) => ({
		usage: describeUsage(name, command),
		summary: command.summary,
	}));
	return [
		'Usage: shallotctl <command> [settings]',
		'',
		'Commands:',
		...usages.flatMap(({usage, summary}) => [`  ${usage}`, `      ${summary}`]),
		'',
		...describeSettings(settingNames),
		'',
		...exitCodeHelp,
	].join('\n');
}

export function formatCommandHelp(name: string, command: Command): string {
	return [
		`Usage: shallotctl ${describeUsage(name, command)} [settings]`,
		'',
		command.summary,
		'',
		...describeSettings([...command.settings, ...commonSettings]),
		'',
		...exitCodeHelp,
	].join('\n');
}
