/**
 * Entry point of the program that runs on the platform.
 */
import process from 'node:process';
import {runPlatformProgram} from './platform-program.js';

async function main(): Promise<never> {
	const exitCode = await runPlatformProgram(process.argv.slice(2), process.env, {
		write(text) {
			process.stdout.write(text);
		},
		writeError(text) {
			process.stderr.write(text);
		},
	});
	// Connections of callers and timers would keep the process alive.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(exitCode);
}

// eslint-disable-next-line unicorn/prefer-top-level-await -- the bundle is a CommonJS file
void main();
