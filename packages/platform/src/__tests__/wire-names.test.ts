/**
 * Guards against wire names of the platform outside its adapter, the package `platform`: a change
 * of such a name would then need changes in other packages too.
 */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {expect, test} from '@jest/globals';

const packages = path.join(import.meta.dirname, '..', '..', '..');
const wireNames =
	/x-shallotpond-|\/api\/(?:ready|kv)|op\/config|op\/evacuate|api_keys|rate_per_s|traffic_split|cold_remaining_ms|target_latency_ms|as_of|store-era(?!-)/i;

test('no source outside the adapter contains a wire name', () => {
	const found: string[] = [];
	for (const name of readdirSync(packages)) {
		const source = path.join(packages, name, 'src');
		if (name === 'platform') {
			continue;
		}

		for (const file of readdirSync(source, {recursive: true, encoding: 'utf8'})) {
			if (file.endsWith('.ts') && wireNames.test(readFileSync(path.join(source, file), 'utf8'))) {
				found.push(`${name}/${file}`);
			}
		}
	}

	expect(found).toEqual([]);
});
