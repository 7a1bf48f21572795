/**
 * Explains the outcome of one request from the structured log lines of any number of instances: the
 * decision of each step (hop) of the request path with the values behind it, and the state changes
 * of the instance shortly before.
 */
export type LogLine = Readonly<Record<string, unknown>> & {
	readonly message: string;
	readonly instance: string;
	readonly timestamp: string;
};

export type RequestExplanation = {
	/** Lines with the id of the request, one for each instance that handled it. */
	readonly requests: readonly LogLine[];
	/** Cause of the outcome in the last line of `requests`. */
	readonly cause: string;
	/**
	 * State changes that may explain a decision, of the instance that wrote the last line of
	 * `requests`, in the order of the log; only the last 30 if there are more.
	 */
	readonly context: readonly LogLine[];
	/**
	 * Number of log lines that instances dropped within 2 s of the end of the request. If it is not
	 * 0, `requests` and `context` may be incomplete.
	 */
	readonly droppedLines: number;
};

type Hop = Readonly<Record<string, unknown>> & {readonly hop: string; readonly result?: string};

/** Time before the end of the request in which a state change may be relevant. */
const contextWindowMs = 10_000;
/** Time before and after the end of the request in which dropped lines may belong to it. */
const droppedLinesWindowMs = 2000;
const maxContextLines = 30;
/** Responses with a lower status count as served. */
const minErrorStatus = 400;
/** Log messages that report a state change of one target. */
const targetEvents: ReadonlySet<string> = new Set([
	'target-listed',
	'target-leaving',
	'target-unlisted',
	'target-misdirected',
	'target-suspected',
	'target-trusted',
	'target-cold',
	'path-avoided',
]);
/** Log messages that report a state change of the whole instance. */
const instanceEvents: ReadonlySet<string> = new Set([
	'started',
	'stopping',
	'store-lost',
	'store-regained',
	'configuration-adopted',
	'certainty-lost',
	'certainty-regained',
	'connections-doubted',
	'service-narrowed',
	'service-widened',
	'member-left',
]);

const causesByCode: Readonly<Record<string, string>> = {
	isolated: 'the instance could not be sure that the key was still valid: see certainty-lost',
	'not-ready': 'the instance had no configuration yet: see started',
	'unknown-key': 'the key is not in the configuration in force',
	'missing-key': 'the request contained no key',
	'unknown-route': 'no route of the configuration in force matches the host and the path',
};

const causesByResult: Readonly<Record<string, string>> = {
	delivered: 'the target responded with an error, which was forwarded unchanged',
	timeout: 'the target was silent until the deadline of the request or the timeout of the route',
	shed: 'the target rejected the request; no attempt was left or the retry budget was used up',
	'target-shed': 'the target rejected the request; no attempt was left',
	'connection-failed': 'no connection to the target could be opened; no attempt was left',
	'connection-broken': 'the connection broke after the request was sent, so it may have run',
	incomplete: 'the response of the target was cut or belonged to another request',
	'incomplete-answer': 'the response of the target was cut or belonged to another request',
	'deadline-exceeded':
		'the response waited for its turn without memory to arrive in, until its time was over',
	misdirected: 'another process was using the address of the target',
	error: 'the target failed; no attempt was left or the retry budget was used up',
	cancelled:
		'the caller disconnected, or the target became unusable just before the request was sent',
};

const refusalCausesByHop: Readonly<Record<string, string>> = {
	admit: 'the workspace had used up its rate: see tokens, rate and contact',
	queue: 'no target could take the request: see the attempts before',
};

function timestampOf(line: LogLine): number {
	return Date.parse(line.timestamp);
}

function hopsOf(line: LogLine): readonly Hop[] {
	return Array.isArray(line.hops) ? (line.hops as Hop[]) : [];
}

/** Whether the hop only tells that a second attempt was not made, or was not needed. */
function isHedgeStep({hop, hedge, result}: Hop): boolean {
	return (hop === 'queue' && hedge === 1) || result === 'lost-race';
}

function cutCauseOf({closedFor, behind}: LogLine): string {
	const cause =
		typeof closedFor === 'string'
			? `the instance closed the connection (${closedFor}) before the response was complete`
			: 'the caller disconnected before the response was complete';
	return typeof behind === 'number' && behind > 0
		? `${cause}; ${behind} earlier responses on it were unfinished`
		: cause;
}

function causeOf(line: LogLine): string {
	if (line.message === 'request-refused') {
		return causesByCode[String(line.code)] ?? `refused as ${String(line.code)}`;
	}

	const lastHop = hopsOf(line).findLast(hop => !isHedgeStep(hop));
	if (lastHop === undefined) {
		return 'the request ended before any decision was made';
	}

	if (line.status === 0) {
		return cutCauseOf(line);
	}

	if (typeof line.status === 'number' && line.status < minErrorStatus) {
		return 'the request was served';
	}

	const {hop, result = 'unfinished'} = lastHop;
	return result === 'refused'
		? (refusalCausesByHop[hop] ?? `refused by ${hop}`)
		: (causesByResult[result] ?? `ended as ${result}`);
}

/**
 * Parses a line of the structured log, which may have a prefix before the JSON object. Returns
 * undefined for any other line.
 */
export function parseLogLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
		const isLogLine =
			typeof line.message === 'string' &&
			typeof line.instance === 'string' &&
			!Number.isNaN(Date.parse(String(line.timestamp)));
		return isLogLine ? (line as LogLine) : undefined;
	} catch {
		return undefined;
	}
}

/** Returns undefined if no line has the id of the request. Linear in the number of lines. */
export function explainRequest(
	lines: readonly LogLine[],
	id: string,
): RequestExplanation | undefined {
	const requests = lines.filter(
		line => line.id === id && (line.message === 'request' || line.message === 'request-refused'),
	);
	const lastRequest = requests.at(-1);
	if (lastRequest === undefined) {
		return undefined;
	}

	const end = timestampOf(lastRequest);
	const targets = new Set(hopsOf(lastRequest).map(({target}) => String(target)));
	const context = lines.filter(line => {
		const age = end - timestampOf(line);
		if (line.instance !== lastRequest.instance || age < 0 || age > contextWindowMs) {
			return false;
		}

		// Lines of state changes identify a target as `id@start`, hops by its id only.
		const target = String(line.target).split('@')[0]!;
		return (
			instanceEvents.has(line.message) || (targetEvents.has(line.message) && targets.has(target))
		);
	});
	const droppedEvents = lines.filter(
		line =>
			line.message === 'lines-dropped' && Math.abs(timestampOf(line) - end) <= droppedLinesWindowMs,
	);
	return {
		requests,
		cause: causeOf(lastRequest),
		context: context.slice(-maxContextLines),
		droppedLines: droppedEvents.reduce((sum, {lines: count}) => sum + Number(count), 0),
	};
}
