/**
 * `node packages/replay/dist/generate-traces.js [directory]`: writes the traces of the catalogue
 * and their outcomes to a directory, by default `packages/replay/traces`.
 */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {createCatalogue, formatTrace} from './trace-catalogue.js';

const defaultDirectory = fileURLToPath(new URL('../traces', import.meta.url));
const directory = process.argv[2] ?? defaultDirectory;

for (const [organisation, traces] of createCatalogue()) {
	mkdirSync(join(directory, organisation), {recursive: true});
	for (const trace of traces) {
		const formatted = formatTrace(trace);
		const path = join(directory, organisation, trace.name);
		writeFileSync(`${path}.jsonl`, formatted.trace);
		writeFileSync(`${path}.outcomes.json`, formatted.outcomes);
	}
}
