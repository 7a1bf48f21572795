/**
 * The event log of a process: JSON lines on standard output, within a budget of lines a second.
 * Good requests have the smaller part of the budget, so that a flood of them leaves room for
 * failures and for changes of what the process believes.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {transports} from 'winston';
import {createBoundedOutput} from './bounded-output.js';
import {type EventFields, type EventLog, type EventName} from './event-log.js';
import {createLogger, type LogLevel} from './logger.js';
import {type Metrics} from './metrics.js';

export type StructuredLogOptions = {
	readonly clock: Clock;
	readonly instance: string;
	readonly level: LogLevel;
	readonly metrics: Metrics;
};

const standardOutput = 1;
/** Bytes that may wait while nobody reads. */
const mostWaitingBytes = 1_048_576;
/** Lines a second; a small instance serves a few requests a second, a large one some hundred. */
const linesPerSecond = {important: 200, ordinary: 100} as const;
const millisecondsPerSecond = 1000;
const lowestFailure = 400;

type Importance = keyof typeof linesPerSecond;

const levels: Partial<Record<EventName, LogLevel>> = {
	'store-lost': 'warn',
	'store-entry-refused': 'warn',
	'settings-refused': 'warn',
	'certainty-lost': 'warn',
	'target-suspected': 'warn',
	'path-avoided': 'warn',
	'service-narrowed': 'warn',
	'internal-error': 'error',
	'lines-dropped': 'warn',
};

function importanceOf(event: EventName, fields: EventFields): Importance {
	const {status} = fields;
	const isGood = typeof status === 'number' && status > 0 && status < lowestFailure;
	return event === 'request' && isGood ? 'ordinary' : 'important';
}

export function createEventLog(options: StructuredLogOptions): EventLog {
	const {clock, metrics} = options;
	let dropped = 0;
	let second = 0;
	let written: Record<Importance, number> = {important: 0, ordinary: 0};

	function countDropped(): void {
		dropped++;
		metrics.count('log-lines-dropped');
	}

	const output = createBoundedOutput({
		descriptor: standardOutput,
		maxBytes: mostWaitingBytes,
		onDropped: countDropped,
	});
	const logger = createLogger({
		format: 'json',
		level: options.level,
		instance: options.instance,
		transport: new transports.Stream({stream: output.stream}),
	});

	function startSecond(now: number): void {
		second = now;
		written = {important: 0, ordinary: 0};
		if (dropped > 0) {
			logger.warn('lines-dropped', {lines: dropped});
			dropped = 0;
		}
	}

	return {
		write(event, fields = {}) {
			const now = Math.floor(clock.monotonic() / millisecondsPerSecond);
			if (now !== second) {
				startSecond(now);
			}

			const importance = importanceOf(event, fields);
			if (written[importance] >= linesPerSecond[importance]) {
				countDropped();
				return;
			}

			written[importance]++;
			logger.log(levels[event] ?? 'info', event, fields);
		},
	};
}
