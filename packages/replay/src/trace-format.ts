/**
 * The format of a recorded trace: JSON Lines, one event a line in order of time, a header first. All
 * times are milliseconds of true time since the end of the warm-up. `docs/replay.md` describes each
 * event. Unknown fields are refused, so that a misspelled field never passes unnoticed.
 */
import {z} from 'zod';
import {formatPath} from '@shallotpond/configuration/parse-document';
import {ReplayError} from './replay-error.js';

const milliseconds = z.number().min(0).max(86_400_000);
const part = z.number().min(0).max(1);
const name = z.string().min(1).max(200);
const index = z.number().int().min(0).max(9999);
const seed = z
	.number()
	.int()
	.min(0)
	.max(2 ** 31);
const version = z.number().int().min(1);
/** Milliseconds; the harness has no other end for a request whose instance lost its coordinator. */
const longestTimeout = 3800;

/** Requests per second. A stream sends one request per step of 2 ms, and Poisson gaps need some room. */
export const maxStreamRate = 300;

const at = {at: milliseconds};

const configuration = z.strictObject({
	/** D, the bound on the instances alive at once. */
	maxInstances: z.number().int().min(1).max(10_000).optional(),
	/** 0 to 1. */
	minorityFraction: part.optional(),
	/** Requests per second and requests, by workspace; replaces the workspaces of the organisation. */
	workspaces: z
		.record(name, z.strictObject({rate: z.number().positive(), burst: z.number().positive()}))
		.optional(),
	/** Replaces single settings of services, by service. */
	services: z
		.record(
			name,
			z.strictObject({
				slots: z.number().int().min(1).optional(),
				connections: z.number().int().min(1).optional(),
				coldSlots: z.number().int().min(1).optional(),
				/** 0 to 1. */
				floor: part.optional(),
			}),
		)
		.optional(),
	/** Failure domains that are out from the start. */
	domainsOut: z.array(name).optional(),
});

const header = z.strictObject({
	kind: z.literal('header'),
	format: z.literal(1),
	organisation: z.enum(['fjordvik', 'inkworks']),
	/** Instances alive at the start. */
	instances: z.number().int().min(1).max(1000),
	seed,
	/** Milliseconds from the first event to the end of the run. */
	duration: milliseconds,
	/** Milliseconds for which the fleet runs before time 0; 10,000 by default. */
	warmUp: milliseconds.default(10_000),
	configuration: configuration.default({}),
});

const call = {
	workspace: name,
	service: name,
	method: z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH']),
	/** Whether the route names the method as idempotent. */
	idempotent: z.boolean(),
	/** Milliseconds that the target works on it; drawn from the behaviour of the target by default. */
	serviceTime: milliseconds.optional(),
	/** Bytes of the answer; 0 by default. */
	size: z.number().int().min(0).max(1e12).optional(),
	/** Milliseconds until the caller gives up; 2,000 by default. */
	timeout: z.number().min(1).max(longestTimeout).optional(),
	/** Name of the key; `key-<workspace>` by default. */
	key: name.optional(),
};

const request = z.strictObject({
	kind: z.literal('request'),
	...at,
	...call,
	/** Entry instance; a random live one by default. */
	instance: index.optional(),
	idempotencyKey: name.optional(),
	/** The same text stands for the same method, path and body; unique by default. */
	fingerprint: name.optional(),
	/** Each target that runs it crashes. */
	crashesTargets: z.boolean().optional(),
});

const stream = z.strictObject({
	kind: z.literal('stream'),
	...at,
	...call,
	/** Requests per second; a larger rate is written as several streams. */
	rate: z.number().positive().max(maxStreamRate),
	/** Milliseconds. */
	duration: milliseconds,
	seed,
	/** `even` puts the same time between requests, `poisson` draws it; `poisson` by default. */
	spacing: z.enum(['even', 'poisson']).default('poisson'),
	/** Entry instances; random live ones by default. */
	instances: z.array(index).min(1).optional(),
	/** Gives each request an idempotency key of its own. */
	hasIdempotencyKeys: z.boolean().optional(),
});

const targets = {...at, target: name};
const between = {...at, from: index, to: index};
const toTarget = {...at, instance: index, target: name};
const direction = z.enum(['requests', 'answers']);

const eventSchema = z.discriminatedUnion('kind', [
	request,
	stream,
	/** Factor on the service time; 1 ends it. */
	z.strictObject({
		kind: z.literal('target-slow'),
		...targets,
		factor: z.number().min(0.01).max(10_000),
	}),
	/** Part of the requests that fail after their service time. */
	z.strictObject({kind: z.literal('target-fail'), ...targets, rate: part}),
	/** Part of the requests that are answered blank or cut short. */
	z.strictObject({kind: z.literal('target-blank'), ...targets, rate: part}),
	/** Part of the requests that get no answer. */
	z.strictObject({kind: z.literal('target-stall'), ...targets, rate: part}),
	/** Alternates between good and sick; 0 ends it. */
	z.strictObject({kind: z.literal('target-flap'), ...targets, period: milliseconds}),
	z.strictObject({kind: z.literal('target-cold'), ...targets}),
	z.strictObject({kind: z.literal('target-crash'), ...targets, downFor: milliseconds}),
	z.strictObject({kind: z.literal('target-leave'), ...targets}),
	z.strictObject({kind: z.literal('target-return'), ...targets}),
	/** Loses messages from one instance to another. */
	z.strictObject({kind: z.literal('link-cut'), ...between}),
	z.strictObject({kind: z.literal('link-heal'), ...between}),
	/** An open connection between instances goes silent, and a new one replaces it. */
	z.strictObject({kind: z.literal('link-silence'), ...between}),
	z.strictObject({kind: z.literal('target-link-cut'), ...toTarget, direction}),
	z.strictObject({kind: z.literal('target-link-heal'), ...toTarget, direction}),
	/** Adds up to `delay` to a part of all messages between instances; 0 ends it. */
	z.strictObject({kind: z.literal('link-delay'), ...at, part, delay: milliseconds}),
	z.strictObject({kind: z.literal('partition'), ...at, parts: z.array(z.array(index)).min(2)}),
	z.strictObject({kind: z.literal('heal'), ...at}),
	z.strictObject({
		kind: z.literal('instance-pause'),
		...at,
		instance: index,
		duration: milliseconds,
	}),
	/** Ends the process; without `replaceAfter`, nothing takes its place. */
	z.strictObject({
		kind: z.literal('instance-crash'),
		...at,
		instance: index,
		replaceAfter: milliseconds.optional(),
	}),
	z.strictObject({
		kind: z.literal('instance-stop'),
		...at,
		instance: index,
		/** Milliseconds between the announcement and the end of the process. */
		grace: milliseconds,
		replaceAfter: milliseconds.optional(),
	}),
	z.strictObject({kind: z.literal('service-away'), ...at}),
	z.strictObject({kind: z.literal('service-back'), ...at}),
	/** The configuration service serves an old version until `service-back`. */
	z.strictObject({kind: z.literal('service-stale'), ...at, version}),
	/** A new version, the same but for the withdrawn key. */
	z.strictObject({kind: z.literal('key-withdrawn'), ...at, key: name}),
	/** A new version with another rate. */
	z.strictObject({
		kind: z.literal('patch-rate'),
		...at,
		workspace: name,
		rate: z.number().positive(),
		burst: z.number().positive(),
	}),
	z.strictObject({kind: z.literal('domain-out'), ...at, failureDomain: name}),
	z.strictObject({kind: z.literal('domain-in'), ...at, failureDomain: name}),
]);

export type TraceHeader = z.output<typeof header>;
export type TraceEvent = z.output<typeof eventSchema>;
/** As written in a file, before defaults. */
export type TraceEventInput = z.input<typeof eventSchema>;
export type TraceHeaderInput = z.input<typeof header>;
export type TraceRequest = z.output<typeof request>;
export type TraceStream = z.output<typeof stream>;
export type Trace = {readonly header: TraceHeader; readonly events: readonly TraceEvent[]};

/** Names `line 3, field "rate": ...` for each problem. */
export function describeIssues(place: string, issues: readonly z.core.$ZodIssue[]): string {
	return issues
		.map(issue => {
			const path = issue.path.length === 0 ? '' : `, field "${formatPath(issue.path)}"`;
			return `${place}${path}: ${issue.message}`;
		})
		.join('\n');
}

function parseLine<Output>(schema: z.ZodType<Output>, line: string, number: number): Output {
	let value: unknown;
	try {
		value = JSON.parse(line);
	} catch (error) {
		throw new ReplayError('invalid-trace', `line ${number}: not JSON: ${(error as Error).message}`);
	}

	const result = schema.safeParse(value);
	if (!result.success) {
		throw new ReplayError('invalid-trace', describeIssues(`line ${number}`, result.error.issues));
	}

	return result.data;
}

/** Names that the schema cannot know, because they depend on the header. */
export type TraceNames = {
	readonly instances: number;
	readonly targets: ReadonlySet<string>;
	readonly services: ReadonlySet<string>;
	readonly workspaces: ReadonlySet<string>;
	readonly failureDomains: ReadonlySet<string>;
};

const nameFields = [
	['target', 'targets'],
	['service', 'services'],
	['workspace', 'workspaces'],
	['failureDomain', 'failureDomains'],
] as const;

/** A number, a list of numbers or a list of such lists as one list. */
function flatten(value: unknown): unknown[] {
	return Array.isArray(value) ? value.flatMap(item => flatten(item)) : [value];
}

function checkNames(event: TraceEvent, names: TraceNames, number: number): void {
	const fields: Readonly<Record<string, unknown>> = event;
	for (const [field, list] of nameFields) {
		const value = fields[field];
		if (typeof value === 'string' && !names[list].has(value)) {
			throw new ReplayError(
				'invalid-trace',
				`line ${number}, field "${field}": "${value}" is not known`,
			);
		}
	}

	for (const field of ['instance', 'from', 'to', 'instances', 'parts']) {
		const values = fields[field] === undefined ? [] : flatten(fields[field]);
		if (values.some(value => (value as number) >= names.instances)) {
			const range = `0 to ${names.instances - 1}`;
			throw new ReplayError('invalid-trace', `line ${number}, field "${field}": must be ${range}`);
		}
	}
}

/**
 * Parses a whole trace. Throws a `ReplayError` that names line and field. `namesOf` tells which names
 * the events may use under a header.
 */
export function parseTrace(text: string, namesOf: (header: TraceHeader) => TraceNames): Trace {
	const lines = text.split('\n');
	const parsedHeader = parseLine(header, lines[0]!, 1);
	const names = namesOf(parsedHeader);
	const events: TraceEvent[] = [];
	let latest = 0;
	for (const [offset, line] of lines.slice(1).entries()) {
		const number = offset + 2;
		if (line.trim() === '') {
			continue;
		}

		const event = parseLine(eventSchema, line, number);
		checkNames(event, names, number);
		if (event.at < latest || event.at > parsedHeader.duration) {
			const reason = event.at < latest ? 'before the line above' : 'after the end of the trace';
			throw new ReplayError(
				'invalid-trace',
				`line ${number}, field "at": ${event.at} ms is ${reason}`,
			);
		}

		latest = event.at;
		events.push(event);
	}

	return {header: parsedHeader, events};
}
