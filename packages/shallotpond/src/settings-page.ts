/**
 * The settings table of `docs/OPERATIONS.md`, made from the same table as `--help`. A test compares
 * the page with it.
 */
import {tabulateSettings} from '@shallotpond/kernel/settings';
import {daemonSettings, environmentPrefix} from './daemon-settings.js';

export const settingsPageMarkers = {begin: '<!-- settings -->', end: '<!-- /settings -->'} as const;

export function createSettingsTable(): string {
	return tabulateSettings(daemonSettings, environmentPrefix);
}

/** Replaces the table between the marks of a page. Throws a `RangeError` when a mark is missing. */
export function updateSettingsPage(page: string): string {
	const begin = page.indexOf(settingsPageMarkers.begin);
	const end = page.indexOf(settingsPageMarkers.end);
	if (begin === -1 || end < begin) {
		throw new RangeError('the page has no marks for the settings table');
	}

	const head = page.slice(0, begin + settingsPageMarkers.begin.length);
	return `${head}\n\n${createSettingsTable()}\n\n${page.slice(end)}`;
}
