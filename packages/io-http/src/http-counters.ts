/** Counters of the request path. The metrics of the daemon implement the interface. */
export type HttpCounterName =
	/** Requests that ended with a problem; the label is its code. */
	| 'refusals'
	/** Caller connections closed without a response; the label is the reason. */
	| 'closed-connections'
	/** Times at which the memory for callers became low. */
	| 'memory-shortages'
	/** Times at which a connection that took long to parse had to wait for its turn. */
	| 'parsing-delays'
	/** Attempts at targets; the label is the result. */
	| 'attempts'
	/** Checks of targets that broke a connection; the label is the result, `running` or `down`. */
	| 'target-checks'
	/** Attempts to resume an interrupted download at another target. */
	| 'resumes'
	/** Responses that ended with a reset; the label is the reason. */
	| 'reset-answers'
	/** Target connections destroyed because bytes arrived while they were idle. */
	| 'unexpected-bytes';

export type HttpCounters = {
	increment(name: HttpCounterName, label?: string): void;
};

/** The name of each counter's label, where it has one. */
export const httpCounterLabels: Readonly<Record<HttpCounterName, string | undefined>> = {
	refusals: 'code',
	'closed-connections': 'reason',
	'memory-shortages': undefined,
	'parsing-delays': undefined,
	attempts: 'result',
	'target-checks': 'result',
	resumes: undefined,
	'reset-answers': 'reason',
	'unexpected-bytes': undefined,
};

export const noopCounters: HttpCounters = {
	increment() {
		// Counts nothing.
	},
};
