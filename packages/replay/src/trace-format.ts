/**
 * The format of a recorded trace: JSON Lines, with a header in the first line and then one event per
 * line in order of time. All times are milliseconds of true time since the end of the warm-up.
 * `docs/replay.md` describes each event. Unknown fields are rejected, so that a misspelled field is
 * noticed.
 */
import {z} from 'zod';
import {formatFieldPath} from '@shallotpond/configuration/parse-document';
import {ReplayError} from './replay-error.js';

const milliseconds = z.number().min(0).max(86_400_000);
const fraction = z.number().min(0).max(1);
const name = z.string().min(1).max(200);
const instanceIndex = z.number().int().min(0).max(9999);
const seed = z
	.number()
	.int()
	.min(0)
	.max(2 ** 31);
const version = z.number().int().min(1);
/**
 * Maximum timeout of a request. It must be below the TTL of a slot grant, `slotGrantTtl`, because
 * only the timeout ends a request whose instance has lost contact with the slot coordinator.
 */
const maxTimeoutMs = 3800;

/**
 * Maximum `rate` of a stream, requests per second. A stream sends at most one request per step of 2
 * ms. With random intervals, its mean rate must stay well below the 500 requests per second that
 * this allows.
 */
export const maxStreamRate = 300;

const atField = {at: milliseconds};

const configurationSchema = z.strictObject({
	/** Maximum number of instances that run at once; that of the organisation by default. */
	maxInstances: z.number().int().min(1).max(10_000).optional(),
	/** 0 to 1. */
	minorityFraction: fraction.optional(),
	/**
	 * Rate in requests per second and burst in requests, by workspace; replaces all workspaces of the
	 * organisation.
	 */
	workspaces: z
		.record(name, z.strictObject({rate: z.number().positive(), burst: z.number().positive()}))
		.optional(),
	/** Overrides single settings, by service. */
	services: z
		.record(
			name,
			z.strictObject({
				slots: z.number().int().min(1).optional(),
				connections: z.number().int().min(1).optional(),
				coldSlots: z.number().int().min(1).optional(),
				/** 0 to 1. */
				floor: fraction.optional(),
			}),
		)
		.optional(),
	/** Failure domains that are out of service from the start. */
	domainsOut: z.array(name).optional(),
});

const headerSchema = z.strictObject({
	kind: z.literal('header'),
	format: z.literal(1),
	organisation: z.enum(['fjordvik', 'inkworks']),
	/** Number of instances at the start. */
	instances: z.number().int().min(1).max(1000),
	seed,
	/** Milliseconds from time 0 to the end of the trace, after which there are no events. */
	duration: milliseconds,
	/** Milliseconds for which the fleet runs before time 0. */
	warmUp: milliseconds.default(10_000),
	configuration: configurationSchema.default({}),
});

const callFields = {
	workspace: name,
	service: name,
	method: z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH']),
	/** Whether the route lists the method as idempotent. */
	idempotent: z.boolean(),
	/**
	 * Median time in milliseconds for which the target works on the request; by default that of the
	 * targets of the service.
	 */
	serviceTime: milliseconds.optional(),
	/** Bytes of the response; 0 by default. */
	size: z.number().int().min(0).max(1e12).optional(),
	/** Milliseconds after which the caller gives up; 2,000 by default. */
	timeout: z.number().min(1).max(maxTimeoutMs).optional(),
	/** Name of the API key; `key-<workspace>` by default. */
	key: name.optional(),
};

const requestSchema = z.strictObject({
	kind: z.literal('request'),
	...atField,
	...callFields,
	/**
	 * Index of the instance that receives the request; by default a random one that has neither ended
	 * nor begun to stop.
	 */
	instance: instanceIndex.optional(),
	idempotencyKey: name.optional(),
	/** Requests with the same method, path and body have the same text; unique by default. */
	fingerprint: name.optional(),
	/** Whether every target that runs the request crashes. */
	crashesTargets: z.boolean().optional(),
});

const streamSchema = z.strictObject({
	kind: z.literal('stream'),
	...atField,
	...callFields,
	/** Requests per second; a higher rate needs several streams. */
	rate: z.number().positive().max(maxStreamRate),
	/** Milliseconds. */
	duration: milliseconds,
	seed,
	/** Constant intervals between requests, or random ones with an exponential distribution. */
	spacing: z.enum(['even', 'poisson']).default('poisson'),
	/**
	 * Indices of the instances from which the receiver of each request is selected; by default all
	 * that have neither ended nor begun to stop.
	 */
	instances: z.array(instanceIndex).min(1).optional(),
	/** Whether each request has an idempotency key of its own. */
	hasIdempotencyKeys: z.boolean().optional(),
});

const targetFields = {...atField, target: name};
const linkFields = {...atField, from: instanceIndex, to: instanceIndex};
const targetLinkFields = {...atField, instance: instanceIndex, target: name};
const direction = z.enum(['requests', 'answers']);

const eventSchema = z.discriminatedUnion('kind', [
	requestSchema,
	streamSchema,
	/** Multiplies the service time by `factor`; a factor of 1 ends the fault. */
	z.strictObject({
		kind: z.literal('target-slow'),
		...targetFields,
		factor: z.number().min(0.01).max(10_000),
	}),
	/** A fraction `rate` of the requests fails after its service time; 0 ends the fault. */
	z.strictObject({kind: z.literal('target-fail'), ...targetFields, rate: fraction}),
	/** A fraction `rate` of the requests gets an empty or incomplete response; 0 ends the fault. */
	z.strictObject({kind: z.literal('target-blank'), ...targetFields, rate: fraction}),
	/** A fraction `rate` of the requests gets no response; 0 ends the fault. */
	z.strictObject({kind: z.literal('target-stall'), ...targetFields, rate: fraction}),
	/**
	 * The faults of the target alternate between absent and present every `period` milliseconds; 0
	 * ends the alternation, with the faults present.
	 */
	z.strictObject({kind: z.literal('target-flap'), ...targetFields, period: milliseconds}),
	/** The target needs a new warm-up without having restarted. */
	z.strictObject({kind: z.literal('target-cold'), ...targetFields}),
	/** The target crashes and restarts cold after `downFor` milliseconds. */
	z.strictObject({kind: z.literal('target-crash'), ...targetFields, downFor: milliseconds}),
	/** The platform lists the target as leaving until `target-return`. */
	z.strictObject({kind: z.literal('target-leave'), ...targetFields}),
	z.strictObject({kind: z.literal('target-return'), ...targetFields}),
	/** Drops messages from one instance to another until `link-heal` or `heal`. */
	z.strictObject({kind: z.literal('link-cut'), ...linkFields}),
	z.strictObject({kind: z.literal('link-heal'), ...linkFields}),
	/**
	 * The connection between two instances loses all messages in both directions until it is replaced
	 * after 1.5 s.
	 */
	z.strictObject({kind: z.literal('link-silence'), ...linkFields}),
	/**
	 * Drops the requests of one instance to a target, or the responses of the target, until
	 * `target-link-heal` or `heal`.
	 */
	z.strictObject({kind: z.literal('target-link-cut'), ...targetLinkFields, direction}),
	z.strictObject({kind: z.literal('target-link-heal'), ...targetLinkFields, direction}),
	/**
	 * Delays a fraction `part` of all messages between instances by up to `delay` milliseconds more;
	 * a `part` of 0 ends the delays.
	 */
	z.strictObject({kind: z.literal('link-delay'), ...atField, part: fraction, delay: milliseconds}),
	/** Instances of different parts cannot reach each other until `heal`. */
	z.strictObject({
		kind: z.literal('partition'),
		...atField,
		parts: z.array(z.array(instanceIndex)).min(2),
	}),
	/** Ends all cuts and partitions. */
	z.strictObject({kind: z.literal('heal'), ...atField}),
	/** The process neither acts nor receives for `duration` milliseconds. */
	z.strictObject({
		kind: z.literal('instance-pause'),
		...atField,
		instance: instanceIndex,
		duration: milliseconds,
	}),
	/**
	 * Ends the process. A new process starts on its address `replaceAfter` milliseconds later, or
	 * none without `replaceAfter`.
	 */
	z.strictObject({
		kind: z.literal('instance-crash'),
		...atField,
		instance: instanceIndex,
		replaceAfter: milliseconds.optional(),
	}),
	z.strictObject({
		kind: z.literal('instance-stop'),
		...atField,
		instance: instanceIndex,
		/** Milliseconds between the announcement of the stop and the end of the process. */
		grace: milliseconds,
		replaceAfter: milliseconds.optional(),
	}),
	/** The configuration service is unreachable until `service-back` or `service-stale`. */
	z.strictObject({kind: z.literal('service-away'), ...atField}),
	z.strictObject({kind: z.literal('service-back'), ...atField}),
	/** The configuration service is reachable, but serves an old version until `service-back`. */
	z.strictObject({kind: z.literal('service-stale'), ...atField, version}),
	/** A new version of the configuration that withdraws an API key. */
	z.strictObject({kind: z.literal('key-withdrawn'), ...atField, key: name}),
	/** A new version of the configuration that changes the rate of a workspace. */
	z.strictObject({
		kind: z.literal('patch-rate'),
		...atField,
		workspace: name,
		rate: z.number().positive(),
		burst: z.number().positive(),
	}),
	/** A new version of the configuration that takes a failure domain out of service. */
	z.strictObject({kind: z.literal('domain-out'), ...atField, failureDomain: name}),
	/** A new version of the configuration that takes a failure domain back into service. */
	z.strictObject({kind: z.literal('domain-in'), ...atField, failureDomain: name}),
]);

export type TraceHeader = z.output<typeof headerSchema>;
export type TraceEvent = z.output<typeof eventSchema>;
/** As written in a file, before defaults are applied. */
export type TraceEventInput = z.input<typeof eventSchema>;
export type TraceHeaderInput = z.input<typeof headerSchema>;
export type TraceRequest = z.output<typeof requestSchema>;
export type TraceStream = z.output<typeof streamSchema>;
export type Trace = {readonly header: TraceHeader; readonly events: readonly TraceEvent[]};

/** Returns one line per problem, for example `line 3, field "rate": …`. */
export function describeIssues(place: string, issues: readonly z.core.$ZodIssue[]): string {
	return issues
		.map(issue => {
			const path = issue.path.length === 0 ? '' : `, field "${formatFieldPath(issue.path)}"`;
			return `${place}${path}: ${issue.message}`;
		})
		.join('\n');
}

function parseLine<Output>(schema: z.ZodType<Output>, line: string, lineNumber: number): Output {
	let value: unknown;
	try {
		value = JSON.parse(line);
	} catch (error) {
		throw new ReplayError(
			'invalid-trace',
			`line ${lineNumber}: not JSON: ${(error as Error).message}`,
		);
	}

	const result = schema.safeParse(value);
	if (!result.success) {
		throw new ReplayError(
			'invalid-trace',
			describeIssues(`line ${lineNumber}`, result.error.issues),
		);
	}

	return result.data;
}

/** Names that the events may use. The schema does not check them, because they depend on the header. */
export type TraceNames = {
	/** Number of instances; the events use the indices below it. */
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

/** Flattens a number, an array of numbers or nested arrays into one array. */
function flatten(value: unknown): unknown[] {
	return Array.isArray(value) ? value.flatMap(item => flatten(item)) : [value];
}

/** Throws a `ReplayError` for an unknown name or for an instance that does not exist. */
function checkNames(event: TraceEvent, names: TraceNames, lineNumber: number): void {
	const fields: Readonly<Record<string, unknown>> = event;
	for (const [field, namesField] of nameFields) {
		const value = fields[field];
		if (typeof value === 'string' && !names[namesField].has(value)) {
			throw new ReplayError(
				'invalid-trace',
				`line ${lineNumber}, field "${field}": "${value}" is not known`,
			);
		}
	}

	for (const field of ['instance', 'from', 'to', 'instances', 'parts']) {
		const values = fields[field] === undefined ? [] : flatten(fields[field]);
		if (values.some(value => (value as number) >= names.instances)) {
			const range = `0 to ${names.instances - 1}`;
			throw new ReplayError(
				'invalid-trace',
				`line ${lineNumber}, field "${field}": must be ${range}`,
			);
		}
	}
}

/**
 * Parses a whole trace. Throws a `ReplayError` that names the line and the field. `namesOf` returns
 * the names that the events may use under a header.
 */
export function parseTrace(text: string, namesOf: (header: TraceHeader) => TraceNames): Trace {
	const lines = text.split('\n');
	const parsedHeader = parseLine(headerSchema, lines[0]!, 1);
	const names = namesOf(parsedHeader);
	const events: TraceEvent[] = [];
	let latest = 0;
	for (const [offset, line] of lines.slice(1).entries()) {
		const lineNumber = offset + 2;
		if (line.trim() === '') {
			continue;
		}

		const event = parseLine(eventSchema, line, lineNumber);
		checkNames(event, names, lineNumber);
		if (event.at < latest || event.at > parsedHeader.duration) {
			const reason = event.at < latest ? 'before the line above' : 'after the end of the trace';
			throw new ReplayError(
				'invalid-trace',
				`line ${lineNumber}, field "at": ${event.at} ms is ${reason}`,
			);
		}

		latest = event.at;
		events.push(event);
	}

	return {header: parsedHeader, events};
}
