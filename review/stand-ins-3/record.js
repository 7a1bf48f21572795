/**
 * Record of a script: one line for each event, with the milliseconds since the start of the script.
 */
import {writeFileSync} from 'node:fs';

export function createRecord(path) {
	const startedAt = performance.now();
	const lines = [];

	return {
		now: () => performance.now() - startedAt,
		write(event, fields = {}) {
			const time = (performance.now() - startedAt).toFixed(1).padStart(9);
			const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
			lines.push([time, event, ...text].join(' '));
		},
		save() {
			writeFileSync(path, `${lines.join('\n')}\n`);
		},
	};
}
