/**
 * `node packages/replay/dist/generate-traces.js [folder]`: writes the traces of the catalogue and
 * their outcomes to a folder, by default `packages/replay/traces`.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createCatalogue, formatTrace} from './trace-catalogue.js';

const defaultFolder = fileURLToPath(new URL('../traces', import.meta.url));
const folder = process.argv[2] ?? defaultFolder;

for (const [organisation, traces] of createCatalogue()) {
	mkdirSync(join(folder, organisation), {recursive: true});
	for (const trace of traces) {
		const formatted = formatTrace(trace);
		const path = join(folder, organisation, trace.name);
		writeFileSync(`${path}.jsonl`, formatted.trace);
		writeFileSync(`${path}.outcomes.json`, formatted.outcomes);
	}
}
