/**
 * Guards against a settings table for operators that differs from the settings of the daemon, as it
 * does after a setting is added, removed or changed without an update of the page.
 */
import {readFileSync} from 'node:fs';
import {expect, test} from '@jest/globals';
import {updateSettingsPage} from '../settings-page.js';

test('docs/OPERATIONS.md lists the settings that the daemon accepts', () => {
	const page = readFileSync(new URL('../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');
	expect(updateSettingsPage(page)).toBe(page);
});
