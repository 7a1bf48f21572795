/**
 * Polls the platform's list of instances and targets (`GET /v1/instances`). If the platform sends
 * an `ETag`, an unchanged list is only a 304 response, because the whole list is about 400 KB at
 * the planned size.
 */
import {parseInstanceList, type InstanceList} from '@shallotpond/configuration/instance-list';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Random} from '@shallotpond/kernel/random';
import {createCallBudget, maxCallsPerSecond} from './call-budget.js';
import {backOffDelay} from './back-off.js';
import {createCallLoop, type CallLoopStatus} from './call-loop.js';
import {callHttp, parseJsonResponse} from './http-call.js';
import {PlatformError, toPlatformError} from './platform-error.js';

/** Bytes. */
const maxListSize = 4_194_304;
/** Milliseconds. */
const defaultTimeout = 2000;
/**
 * Milliseconds. With a jitter of 25%, a leaving target is noticed within 2.5 s of being listed as
 * such.
 */
const defaultPollInterval = 2000;
/** Milliseconds. */
const backOff = {initialDelay: 500, maxDelay: 5000};

export type InstanceListClientOptions = {
	/** For example `http://10.0.0.2:8300`. */
	readonly url: string;
	readonly clock: Clock;
	readonly random: Random;
	/**
	 * Called with each list that was read; with an unchanged one only if the platform sends no
	 * `ETag`.
	 */
	readonly onList: (list: InstanceList) => void;
	/** Called with the error of each failed call. The last list stays in force. */
	readonly onFailure?: (error: PlatformError) => void;
	/** Timeout of one call. Milliseconds; default 2,000. */
	readonly timeout?: number;
	/**
	 * Mean interval between two calls; each is drawn from 75% to 125% of it. Milliseconds; default
	 * 2,000.
	 */
	readonly pollInterval?: number;
};

export type InstanceListClient = {
	start(): void;
	/** Ends the current call; resolves when the loop of calls has ended. */
	stop(): Promise<void>;
	/**
	 * Polls now instead of after the interval, within the call budget. Does nothing during a call.
	 */
	refresh(): void;
	/**
	 * Sets the mean interval between two calls, in milliseconds. If no call is in progress, also polls
	 * now, within the call budget.
	 */
	setPollInterval(interval: number): void;
	readonly status: CallLoopStatus;
};

export function createInstanceListClient(options: InstanceListClientOptions): InstanceListClient {
	const {clock, random, timeout = defaultTimeout} = options;
	let {pollInterval = defaultPollInterval} = options;
	const budget = createCallBudget({clock, callsPerSecond: maxCallsPerSecond, burst: 2});
	const url = new URL('/v1/instances', options.url);
	let tag: string | undefined;

	async function call(signal: AbortSignal): Promise<void> {
		await budget.take(signal);
		const headers: Record<string, string> = tag === undefined ? {} : {'if-none-match': tag};
		const response = await callHttp({
			url,
			headers,
			timeout,
			maxResponseSize: maxListSize,
			clock,
			signal,
		});
		if (response.status === 304 && tag !== undefined) {
			return;
		}

		if (response.status !== 200) {
			throw new PlatformError(
				'unexpected-status',
				`the platform responded with status ${response.status}`,
			);
		}

		const list = parseList(parseJsonResponse(response));
		options.onList(list);
		tag = response.headers.etag;
	}

	const loop = createCallLoop({
		clock,
		call,
		delayAfter: failures =>
			failures === 0
				? pollInterval * (0.75 + random() / 2)
				: backOffDelay(failures, {random, ...backOff}),
		onFailure: error => options.onFailure?.(error),
	});

	return {
		start: loop.start,
		stop: loop.stop,
		refresh: loop.wake,
		setPollInterval(interval) {
			pollInterval = interval;
			loop.wake();
		},
		get status() {
			return loop.status;
		},
	};
}

function parseList(value: unknown): InstanceList {
	try {
		return parseInstanceList(value);
	} catch (error) {
		throw toPlatformError(error, 'malformed-answer');
	}
}
