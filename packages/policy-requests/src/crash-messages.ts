/**
 * Messages of the crash registry. A sender numbers its reports and queries in one sequence and the
 * notices of its registry in another; the answer or confirmation carries the `id` of the message to
 * which it replies. Every message may be lost, duplicated, delayed or reordered.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';

/** What is known about one fingerprint that broke a connection. */
export type CrashRecord = {
	readonly fingerprint: string;
	/** The distinct targets to which the connection broke; at most two. */
	readonly targets: readonly string[];
	/**
	 * The instance that currently tries the request on a second target, and the milliseconds for
	 * which the trial remains valid.
	 */
	readonly trial?: {readonly holder: InstanceId; readonly id: number; readonly remaining: number};
	/**
	 * Milliseconds until the record expires. With 0, a receiver deletes its entry of the fingerprint,
	 * unless the entry blocks it.
	 */
	readonly remaining: number;
	/**
	 * Increases with each change of the record at its owner. Receivers ignore a record with fewer
	 * than two targets (a suspicion) unless its revision is higher than that of their entry.
	 */
	readonly revision: number;
};

/**
 * Reports an attempt that broke a connection, or the end of a trial (an attempt of a suspected
 * request that the owner allowed).
 */
export type CrashReport = {
	readonly kind: 'crash-report';
	readonly id: number;
	readonly fingerprint: string;
	/** The target to which the connection broke; undefined unless `result` is `crashed`. */
	readonly target?: string;
	/**
	 * `cleared`: the trial got a response, which ends the suspicion. `unused`: the trial got no
	 * response or did not run, and the owner may allow another.
	 */
	readonly result: 'crashed' | 'cleared' | 'unused';
	/** Id of the query that allowed the trial. */
	readonly trial?: number;
};

/** Asks the owner whether a request that has already broken a connection may be sent again. */
export type CrashQuery = {
	readonly kind: 'crash-query';
	readonly id: number;
	readonly fingerprint: string;
};

export type CrashAnswer = {
	readonly kind: 'crash-answer';
	readonly id: number;
	readonly fingerprint: string;
	/** `recorded` answers a report; `busy` means that another trial of the request is running. */
	readonly verdict: 'allowed' | 'blocked' | 'busy' | 'recorded';
	/** Milliseconds until the query may be repeated (`busy`) or until the block ends (`blocked`). */
	readonly retryAfter?: number;
};

/** Announces a record to another instance. */
export type CrashNotice = {
	readonly kind: 'crash-notice';
	readonly id: number;
	readonly record: CrashRecord;
};

/** Confirms a notice. */
export type CrashNoticeSeen = {readonly kind: 'crash-notice-seen'; readonly id: number};

export type CrashMessage = CrashReport | CrashQuery | CrashAnswer | CrashNotice | CrashNoticeSeen;
