/**
 * Connects `main` to the process. `bin/shallotctl.js` imports this module.
 */
import process from 'node:process';
import {buffer} from 'node:stream/consumers';
import {createSystemClock} from '@shallotpond/kernel/clock';
import {type Terminal} from './command.js';
import {main} from './main.js';

const terminal: Terminal = {
	print(text) {
		process.stdout.write(`${text}\n`);
	},
	printError(text) {
		process.stderr.write(`${text}\n`);
	},
	readInput: async () => buffer(process.stdin),
	clock: {
		...createSystemClock(),
		after(delay, callback) {
			const timer = setTimeout(callback, delay);
			return () => {
				clearTimeout(timer);
			};
		},
	},
};

// A reader such as `head` may close the pipe early, which is not an error.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
	process.exitCode = error.code === 'EPIPE' ? 0 : 1;
});
process.exitCode = await main({
	args: process.argv.slice(2),
	environment: process.env,
	terminal,
});
