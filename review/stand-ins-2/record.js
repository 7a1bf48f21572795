/** Writes what happens to `record.txt` in the folder of a case. */
import {writeFileSync, appendFileSync, mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';

export const hasTrouble = process.env.TROUBLE !== '0';

export function createRecord(folder) {
	const file = path.join(folder, 'record.txt');
	const startedAt = performance.now();
	const lines = [];
	writeFileSync(file, '');
	return {
		now: () => performance.now() - startedAt,
		note(text, details = {}) {
			const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
			lines.push(`${seconds.padStart(8)} s  ${text} ${JSON.stringify(details)}`);
		},
		flush() {
			appendFileSync(file, `${lines.join('\n')}\n`);
			lines.length = 0;
		},
	};
}

/**
 * Runs a case: exits with 1 if its rule was broken, 0 if it held, and 2 if the case could not run.
 * `play` returns the breaches that it found.
 */
export async function runCase(folder, play) {
	const record = createRecord(folder);
	const temporaryFolder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	const cleanups = [];

	async function end(exitCode) {
		for (const cleanup of cleanups.splice(0).toReversed()) {
			try {
				await cleanup();
			} catch (error) {
				record.note('clean-up failed', {error: String(error)});
			}
		}

		record.flush();
		if (process.env.KEEP_LOGS === undefined) {
			rmSync(temporaryFolder, {recursive: true, force: true});
		} else {
			process.stdout.write(`${temporaryFolder}\n`);
		}

		// Connections that are still open would keep the process alive.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(exitCode);
	}

	async function fail(error) {
		record.note('the case could not run', {error: String(error?.stack ?? error)});
		await end(2);
	}

	process.on('uncaughtException', fail);
	process.on('SIGTERM', fail);
	process.on('SIGINT', fail);
	let breaches;
	try {
		breaches = await play({
			note: record.note,
			now: record.now,
			folder: temporaryFolder,
			onCleanup(cleanup) {
				cleanups.push(cleanup);
			},
		});
	} catch (error) {
		await fail(error);
		return;
	}

	for (const breach of breaches) {
		record.note('RULE BROKEN', breach);
	}

	record.note(breaches.length > 0 ? 'the rule was broken' : 'the rule held', {
		breaches: breaches.length,
	});
	await end(breaches.length > 0 ? 1 : 0);
}
