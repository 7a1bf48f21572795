/**
 * Parses the settings and checks them against those that a command accepts and requires.
 */
import {readSettings, type SettingsResult} from '@shallotpond/kernel/settings';
import {
	commonSettings,
	environmentPrefix,
	settingDefinitions,
	type SettingName,
} from './settings.js';

export type ParsedArguments = SettingsResult<typeof settingDefinitions>;

export function parseArguments(
	args: readonly string[],
	environment: Readonly<NodeJS.ProcessEnv>,
): ParsedArguments {
	return readSettings({
		table: settingDefinitions,
		environmentPrefix,
		commandLine: args,
		environment,
		refusesUnknownVariables: true,
	});
}

/** Reports settings that the command does not accept, and required settings that are missing. */
export function checkCommandSettings(
	parsed: ParsedArguments,
	command: {
		readonly name: string;
		readonly settings: readonly SettingName[];
		readonly required: readonly SettingName[];
	},
): string[] {
	const accepted = new Set([...command.settings, ...commonSettings]);
	const unexpected = [...parsed.flags]
		.filter(name => !accepted.has(name))
		.map(name => `--${name}: is not a setting of ${command.name}`);
	// A setting with an invalid value is undefined like a missing one, but is already reported.
	const isReported = (name: SettingName) =>
		[...parsed.flagProblems, ...parsed.environmentProblems].some(problem =>
			problem.startsWith(`--${name}`),
		);
	const missing = command.required
		.filter(name => parsed.values[name] === undefined && !isReported(name))
		.map(name => `--${name}: is missing; must be ${settingDefinitions[name].allowed}`);
	return [...unexpected, ...missing];
}
