import {readFileSync} from 'node:fs';
import {expect, test} from '@jest/globals';
import {updateSettingsPage} from '../settings-page.js';

test('docs/OPERATIONS.md lists the settings that the daemon accepts', () => {
	const page = readFileSync(new URL('../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');
	expect(updateSettingsPage(page)).toBe(page);
});
