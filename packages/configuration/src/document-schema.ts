/**
 * Schema of the configuration document. The document is adopted as a whole, and unknown fields are
 * refused, so that a misspelled field never passes unnoticed. All durations are in milliseconds.
 */
import {isIPv4, isIPv6} from 'node:net';
import {z} from 'zod';

const identifier = z
	.string()
	.regex(/^[a-z\d][a-z\d._-]{0,63}$/, 'must be 1 to 64 of a-z, 0-9, ".", "_" and "-"');
const highestPort = 65_535;

function isAddress(text: string): boolean {
	const [, ipv6, ipv4, port] = /^(?:\[([^\]]+)]|([\d.]+)):(\d{1,5})$/.exec(text) ?? [];
	const isPort = Number(port) >= 1 && Number(port) <= highestPort;
	return isPort && (isIPv4(ipv4 ?? '') || isIPv6(ipv6 ?? ''));
}

const milliseconds = (minimum: number, maximum: number) =>
	z.number().int().min(minimum).max(maximum);
const longestTimeout = 3_600_000;
/** Part of the healthy capacity of a service that ejections must leave where nothing is said. */
export const defaultFloor = 0.7;

const fleet = z.strictObject({
	/** Upper bound of instances alive at once (D of the design page). */
	maxInstances: z.number().int().min(1).max(10_000),
	/** Part of the rate that a minority of the fleet may use, 0 to 1. */
	minorityFraction: z.number().min(0).max(1).default(0.25),
});

const failureDomain = z.strictObject({
	state: z.enum(['in', 'out']).default('in'),
});

const target = z.strictObject({
	id: identifier,
	/** `ip:port`. */
	address: z.string().refine(text => isAddress(text), 'must be ip:port, with IPv6 as [ip]:port'),
	failureDomain: identifier,
});

const service = z.strictObject({
	targets: z.array(target).max(10_000),
	/** Requests that one warm target bears at once. */
	slots: z.number().int().min(1).max(1024),
	/** Connections that one target bears, over all instances. */
	connections: z.number().int().min(1).max(65_535).default(330),
	/** Requests that a cold target bears at once. */
	coldSlots: z.number().int().min(1).max(1024).default(1),
	/** Good answers that a target gives before it gets one more slot. */
	warmUpAnswers: z.number().int().min(1).max(100_000).default(20),
	/** Shortest time between two steps of the warm-up. */
	warmUpStep: milliseconds(0, longestTimeout).default(2000),
	/** Part of the healthy capacity that ejections must leave, 0 to 1. */
	floor: z.number().min(0).max(1).default(defaultFloor),
	/** Targets in one shard, each with one coordinator. */
	shardSize: z.number().int().min(1).max(256).default(4),
	tls: z.boolean().default(false),
	/** Requests per second that a cold target bears, over all instances. */
	coldRate: z.number().positive().optional(),
	/** Time for which a target is cold after it has started. */
	coldTime: milliseconds(0, longestTimeout).optional(),
});

const splitPart = z.strictObject({
	service: identifier,
	/** Share of the requests, relative to the other parts. */
	weight: z.number().min(0),
});

const expectation = z.strictObject({
	/** Smallest body of a successful answer, bytes. */
	smallestBody: z.number().int().min(0).default(0),
	/** Accepted media types without parameters; empty accepts all. */
	contentTypes: z.array(z.string().min(1)).default([]),
});

const route = z.strictObject({
	id: identifier,
	/** Accepted `Host` names without port; empty accepts all. */
	hosts: z.array(z.string().min(1)).default([]),
	pathPrefix: z.string().startsWith('/'),
	/** Accepted methods; empty accepts all. */
	methods: z.array(z.string().regex(/^[A-Z]+$/)).default([]),
	service: identifier,
	/** Services among which the requests are divided by weight, instead of `service`. */
	split: z.array(splitPart).min(1).optional(),
	/** Rank of the route at overload; 0 is the highest. */
	priority: z.number().int().min(0).optional(),
	/** Time within which an answer is of full use to the caller. */
	latencyObjective: milliseconds(1, longestTimeout).optional(),
	/** Whether answers are large, so that the path to the target matters more. */
	isDownload: z.boolean().optional(),
	/** Targets to which one request may be sent, the first included. */
	attempts: z.number().int().min(1).max(100).optional(),
	/** Open routes need no key. Their requests have no rate and share one place in the fair queue. */
	open: z.boolean().default(false),
	/** Time for the whole request until the head of the answer. */
	timeout: milliseconds(1, longestTimeout).default(10_000),
	/** Longest silence inside the body of an answer before it counts as stalled. */
	stallTimeout: milliseconds(1, longestTimeout).default(5000),
	/** Time for the whole answer, body included; without it only silence ends an answer. */
	answerTimeout: milliseconds(1, longestTimeout).optional(),
	/** Methods that may run more than once. */
	idempotentMethods: z
		.array(z.string().regex(/^[A-Z]+$/))
		.default(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']),
	expectation: expectation.prefault({}),
	/** What to do while the instance reaches neither the configuration service nor any peer. */
	onIsolation: z.enum(['serve', 'refuse']).optional(),
	/** Largest request body, bytes. */
	largestRequestBody: z.number().int().min(0).default(10_485_760),
	/** Name of a query parameter that may carry the key; removed before forwarding. */
	keyQueryParameter: z.string().min(1).optional(),
});

const workspace = z.strictObject({
	/** Requests per second over the whole fleet. */
	rate: z.number().positive(),
	/** Requests above the rate that may come at once over the whole fleet. */
	burst: z.number().min(1),
	/** Share in the fair queue against other workspaces. */
	weight: z.number().positive().default(1),
	/** Goes before the priority of the route. */
	priority: z.number().int().min(0).optional(),
	/** SHA-256 digests of the keys, 64 lower-case hexadecimal digits each. */
	keyDigests: z.array(z.string().regex(/^[\da-f]{64}$/, 'must be a SHA-256 digest in hex')),
});

const idempotency = z.strictObject({
	/** How long the fleet remembers an idempotency key. */
	retention: milliseconds(1000, longestTimeout).default(120_000),
	/** Answer to an unknown key while the owner of its bucket is newer than the retention. */
	whenUnknown: z.enum(['refuse', 'accept']).default('refuse'),
});

export const documentSchema = z.strictObject({
	version: z.number().int().min(1),
	fleet,
	failureDomains: z.record(identifier, failureDomain),
	services: z.record(identifier, service),
	routes: z.array(route).max(100_000),
	workspaces: z.record(identifier, workspace),
	idempotency: idempotency.prefault({}),
});

export type ConfigurationDocument = z.output<typeof documentSchema>;
export type ServiceDefinition = ConfigurationDocument['services'][string];
export type TargetDefinition = ServiceDefinition['targets'][number];
export type RouteDefinition = ConfigurationDocument['routes'][number];
export type WorkspaceDefinition = ConfigurationDocument['workspaces'][string];
export type FailureDomainDefinition = ConfigurationDocument['failureDomains'][string];
