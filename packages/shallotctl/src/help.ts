/**
 * Generates the help texts from the tables of commands and settings.
 */
import {formatSettingsHelp, type Setting} from '@shallotpond/kernel/settings';
import {type Command} from './command.js';
import {commands} from './commands.js';
import {
	commonSettings,
	environmentPrefix,
	settingDefinitions,
	settingNames,
	type SettingName,
} from './settings.js';

const exitCodeHelp = [
	'Exit codes:',
	'  0  success',
	'  1  a check failed or something was refused',
	'  2  wrong usage',
	'  3  the admin listener is not reachable',
];

/** Returns the name, operands and required settings of a command, for example `check <file>`. */
export function formatUsage(name: string, command: Command): string {
	const required = command.required.map(settingName => {
		const {placeholder = ''}: Setting<unknown> = settingDefinitions[settingName];
		return `--${settingName} <${placeholder}>`;
	});
	return [name, ...command.operands.map(operand => `<${operand}>`), ...required].join(' ');
}

function formatSettings(names: readonly SettingName[]): string[] {
	const table = Object.fromEntries(names.map(name => [name, settingDefinitions[name]]));
	return [
		'Settings (flags take precedence over variables):',
		formatSettingsHelp(table, environmentPrefix),
	];
}

export function formatHelp(): string {
	const usages = [...commands].map(([name, command]) => ({
		usage: formatUsage(name, command),
		summary: command.summary,
	}));
	return [
		'Usage: shallotctl <command> [settings]',
		'',
		'Commands:',
		...usages.flatMap(({usage, summary}) => [`  ${usage}`, `      ${summary}`]),
		'',
		...formatSettings(settingNames),
		'',
		...exitCodeHelp,
	].join('\n');
}

export function formatCommandHelp(name: string, command: Command): string {
	return [
		`Usage: shallotctl ${formatUsage(name, command)} [settings]`,
		'',
		command.summary,
		'',
		...formatSettings([...command.settings, ...commonSettings]),
		'',
		...exitCodeHelp,
	].join('\n');
}
