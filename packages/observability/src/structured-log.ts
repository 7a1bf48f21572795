/**
 * The event log of a process: JSON lines on standard output, limited in lines per second.
 * Successful requests have a separate, lower limit, so that many of them cannot displace failures
 * and state changes.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {transports} from 'winston';
import {createBoundedOutput} from './bounded-output.js';
import {type EventFields, type EventLog, type EventName} from './event-log.js';
import {createLogger, type LogLevel} from './logger.js';
import {type Metrics} from './metrics.js';

export type EventLogOptions = {
	readonly clock: Clock;
	readonly instance: string;
	readonly level: LogLevel;
	readonly metrics: Metrics;
};

const stdoutDescriptor = 1;
/** Size of the queue beyond which lines are dropped while standard output is not read. */
const maxQueuedBytes = 1_048_576;
/**
 * `low` is for successful requests, `high` for all other lines. A small instance serves a few
 * requests per second, a large one a few hundred.
 */
const maxLinesPerSecond = {high: 200, low: 100} as const;
const millisecondsPerSecond = 1000;
const minErrorStatus = 400;

type Priority = keyof typeof maxLinesPerSecond;

const levels: Partial<Record<EventName, LogLevel>> = {
	'store-lost': 'warn',
	'store-entry-refused': 'warn',
	'published-late': 'warn',
	'settings-refused': 'warn',
	'certainty-lost': 'warn',
	'target-suspected': 'warn',
	'path-avoided': 'warn',
	'service-narrowed': 'warn',
	'memory-low': 'warn',
	'internal-error': 'error',
	'lines-dropped': 'warn',
};

function priorityOf(event: EventName, fields: EventFields): Priority {
	const {status} = fields;
	const isSuccess = typeof status === 'number' && status > 0 && status < minErrorStatus;
	return event === 'request' && isSuccess ? 'low' : 'high';
}

export function createEventLog(options: EventLogOptions): EventLog {
	const {clock, metrics} = options;
	let droppedLines = 0;
	let currentSecond = 0;
	let linesWritten: Record<Priority, number> = {high: 0, low: 0};

	function countDropped(): void {
		droppedLines++;
		metrics.count('log-lines-dropped');
	}

	const output = createBoundedOutput({
		descriptor: stdoutDescriptor,
		maxQueuedBytes,
		onDropped: countDropped,
	});
	const logger = createLogger({
		format: 'json',
		level: options.level,
		instance: options.instance,
		transport: new transports.Stream({stream: output.stream}),
	});

	function startSecond(second: number): void {
		currentSecond = second;
		linesWritten = {high: 0, low: 0};
		if (droppedLines > 0) {
			logger.warn('lines-dropped', {lines: droppedLines});
			droppedLines = 0;
		}
	}

	return {
		write(event, fields = {}) {
			const second = Math.floor(clock.monotonic() / millisecondsPerSecond);
			if (second !== currentSecond) {
				startSecond(second);
			}

			const priority = priorityOf(event, fields);
			if (linesWritten[priority] >= maxLinesPerSecond[priority]) {
				countDropped();
				return;
			}

			linesWritten[priority]++;
			logger.log(levels[event] ?? 'info', event, fields);
		},
	};
}
