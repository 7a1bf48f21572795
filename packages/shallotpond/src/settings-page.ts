/**
 * Generates the table of settings in `docs/OPERATIONS.md` from the same definitions as `--help`. A
 * test checks that the page contains this table.
 */
import {formatSettingsTable} from '@shallotpond/kernel/settings';
import {daemonSettings, environmentPrefix} from './daemon-settings.js';

/** Comments in the page around the table. */
export const settingsPageMarkers = {begin: '<!-- settings -->', end: '<!-- /settings -->'} as const;

export function createSettingsTable(): string {
	return formatSettingsTable(daemonSettings, environmentPrefix);
}

/** Replaces the table between the markers of a page. Throws a `RangeError` if one is missing. */
export function updateSettingsPage(page: string): string {
	const begin = page.indexOf(settingsPageMarkers.begin);
	const end = page.indexOf(settingsPageMarkers.end);
	if (begin === -1 || end < begin) {
		throw new RangeError('the page has no markers around the settings table');
	}

	const head = page.slice(0, begin + settingsPageMarkers.begin.length);
	return `${head}\n\n${createSettingsTable()}\n\n${page.slice(end)}`;
}
