/**
 * Control over one operating system process of the program under test: starts, stops, pauses and
 * kills it with signals, and restarts it after its end. Only processes that were started here are
 * signalled, by their ids.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import process from 'node:process';
import {type Clock} from '@shallotpond/kernel/clock';

export type InstanceProcessOptions = {
	readonly clock: Clock;
	/** Path of the JavaScript file of the program. */
	readonly program: string;
	readonly settingsFile: string;
	/** Standard output and standard error are appended to this file. */
	readonly logFile: string;
	/** Milliseconds from SIGTERM to SIGKILL. */
	readonly stopTimeout: number;
	/**
	 * Called after a process has ended, except by `terminate`; `isExpected` is false if it ended
	 * without a kill or stop.
	 */
	readonly onExit: (isExpected: boolean) => void;
	/** Called after each start, including the first. */
	readonly onStart: () => void;
};

export type InstanceProcess = {
	/** Increases with each start. */
	readonly incarnation: number;
	readonly isRunning: boolean;
	start(): void;
	/** Sends SIGKILL. The process is restarted after a delay, as the platform does. */
	kill(): void;
	/** Sends SIGTERM, and SIGKILL after the stop timeout. The process is restarted after its end. */
	stop(): void;
	/** Suspends the process with SIGSTOP until `resume`. */
	pause(): void;
	resume(): void;
	/** Kills the process and does not restart it. */
	terminate(): Promise<void>;
};

/** Time between the end of a process and its next start. */
const restartDelayMs = 400;

export function createInstanceProcess(options: InstanceProcessOptions): InstanceProcess {
	const {clock} = options;
	let child: ChildProcess | undefined;
	let incarnation = 0;
	let isExpected = false;
	let isTerminating = false;
	let cancelKill: (() => void) | undefined;
	let resolveExit: (() => void) | undefined;

	function start(): void {
		incarnation++;
		isExpected = false;
		const log = openSync(options.logFile, 'a');
		child = spawn(process.execPath, [options.program, '--config', options.settingsFile], {
			stdio: ['ignore', log, log],
		});
		closeSync(log);
		child.once('exit', handleExit);
		options.onStart();
	}

	function handleExit(): void {
		child = undefined;
		cancelKill?.();
		resolveExit?.();
		if (isTerminating) {
			return;
		}

		options.onExit(isExpected);
		clock.after(restartDelayMs, () => {
			if (!isTerminating) {
				start();
			}
		});
	}

	function signal(name: NodeJS.Signals): void {
		child?.kill(name);
	}

	function kill(): void {
		isExpected = true;
		signal('SIGKILL');
	}

	return {
		get incarnation() {
			return incarnation;
		},
		get isRunning() {
			return child !== undefined;
		},
		start,
		kill,
		stop() {
			isExpected = true;
			signal('SIGCONT');
			signal('SIGTERM');
			const stopped = child;
			cancelKill = clock.after(options.stopTimeout, () => {
				if (child === stopped) {
					signal('SIGKILL');
				}
			});
		},
		pause() {
			signal('SIGSTOP');
		},
		resume() {
			signal('SIGCONT');
		},
		async terminate() {
			isTerminating = true;
			if (child === undefined) {
				return;
			}

			await new Promise<void>(resolve => {
				resolveExit = resolve;
				signal('SIGKILL');
			});
		},
	};
}
