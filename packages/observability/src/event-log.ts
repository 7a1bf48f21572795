/**
 * Structured log lines for decisions: one event name and its fields a line. The catalogue is closed,
 * so that tools can rely on the names; `docs/OPERATIONS.md` describes each of them.
 */
export type EventName =
	| 'started'
	| 'stopping'
	| 'stopped'
	| 'settings-reloaded'
	| 'settings-refused'
	| 'store-lost'
	| 'store-regained'
	| 'store-entry-refused'
	| 'configuration-adopted'
	| 'configuration-refused'
	| 'certainty-lost'
	| 'certainty-regained'
	| 'target-listed'
	| 'target-leaving'
	| 'target-unlisted'
	| 'target-misdirected'
	| 'target-suspected'
	| 'target-trusted'
	| 'service-narrowed'
	| 'service-widened'
	| 'path-avoided'
	| 'connections-doubted'
	| 'member-joined'
	| 'member-left'
	| 'request'
	| 'request-refused'
	| 'request-broke-connection'
	| 'internal-error'
	| 'lines-dropped';

export type EventFields = Readonly<Record<string, unknown>>;

export type EventLog = {
	/** Never blocks and never throws. Failed requests and changes of belief go before good requests. */
	write(event: EventName, fields?: EventFields): void;
};

export const noopLog: EventLog = {
	write() {
		// Writes nothing.
	},
};
