/**
 * Interface of the structured event log. Each line has the name of an event and its fields. The set
 * of names is fixed, so that tools can rely on it; `docs/OPERATIONS.md` describes each event.
 */
export type EventName =
	| 'started'
	| 'stopping'
	| 'stopped'
	| 'settings-reloaded'
	| 'settings-refused'
	| 'store-lost'
	| 'store-regained'
	| 'store-era-changed'
	| 'store-entry-refused'
	| 'published-late'
	| 'published-read-failed'
	| 'configuration-adopted'
	| 'configuration-refused'
	| 'certainty-lost'
	| 'certainty-regained'
	| 'target-listed'
	| 'target-leaving'
	| 'target-announced-leaving'
	| 'target-held-off'
	| 'target-unlisted'
	| 'target-misdirected'
	| 'target-cold'
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
	| 'crashing-request-tried'
	| 'memory-low'
	| 'memory-regained'
	| 'internal-error'
	| 'lines-dropped';

export type EventFields = Readonly<Record<string, unknown>>;

export type EventLog = {
	/**
	 * Never blocks and never throws. Lines may be dropped under load; failed requests and state
	 * changes take priority over successful requests.
	 */
	write(event: EventName, fields?: EventFields): void;
};

export const noopEventLog: EventLog = {
	write() {
		// Logs nothing.
	},
};
