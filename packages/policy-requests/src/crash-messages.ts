/**
 * Messages of the crash registry. A sender numbers its reports and queries in one sequence and the
 * notices of its registry in another; the answer or confirmation repeats the `id`. Every message
 * may be lost, duplicated, delayed or reordered.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';

/** What is known about one fingerprint that broke a connection. */
export type CrashRecord = {
	readonly fingerprint: string;
	/** At most two distinct targets, to which the connection broke. */
	readonly targets: readonly string[];
	/**
	 * The instance that currently tries the request on a second target, and the milliseconds for
	 * which the trial remains valid.
	 */
	readonly trial?: {readonly holder: InstanceId; readonly id: number; readonly remaining: number};
	/** Milliseconds until the record expires; with 0, a receiver removes its own suspicion. */
	readonly remaining: number;
	/**
	 * Increases with each change of the record at its owner. Receivers ignore a suspicion whose
	 * revision is not higher than that of their entry.
	 */
	readonly revision: number;
};

/** Reports the end of an attempt that broke a connection or was a trial. */
export type CrashReport = {
	readonly kind: 'crash-report';
	readonly id: number;
	readonly fingerprint: string;
	/** The target whose connection broke; undefined when the trial got a response or did not run. */
	readonly target?: string;
	/** `cleared` ends the suspicion, `unused` only frees the trial. */
	readonly result: 'crashed' | 'cleared' | 'unused';
	/** Id of the query that allowed the trial. */
	readonly trial?: number;
};

/** Asks whether a request that broke one connection before may be sent. */
export type CrashQuery = {
	readonly kind: 'crash-query';
	readonly id: number;
	readonly fingerprint: string;
};

export type CrashAnswer = {
	readonly kind: 'crash-answer';
	readonly id: number;
	readonly fingerprint: string;
	/** `recorded` answers a report; `busy` means that another instance tries the request now. */
	readonly verdict: 'allowed' | 'blocked' | 'busy' | 'recorded';
	/** Milliseconds after which the sender of the query may ask again, or until a block ends. */
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
