/** Where the request path counts events. The metrics of the daemon implement it. */
export type HttpCounterName =
	/** Requests that were answered with a problem; the label is its code. */
	| 'refusals'
	/** Connections closed without an answer; the label is the reason. */
	| 'closed-connections'
	/** Tries at targets; the label is the result. */
	| 'attempts'
	/** Downloads continued at another target. */
	| 'resumes'
	/** Answers that ended with a reset; the label is the reason. */
	| 'reset-answers'
	/** Target connections that were destroyed because of bytes nobody asked for. */
	| 'unexpected-bytes';

export type HttpCounters = {
	increment(name: HttpCounterName, label?: string): void;
};

/** The name of each counter's label, where it has one. */
export const httpCounterLabels: Readonly<Record<HttpCounterName, string | undefined>> = {
	refusals: 'code',
	'closed-connections': 'reason',
	attempts: 'result',
	resumes: undefined,
	'reset-answers': 'reason',
	'unexpected-bytes': undefined,
};

export const noopCounters: HttpCounters = {
	increment() {
		// Counts nothing.
	},
};
