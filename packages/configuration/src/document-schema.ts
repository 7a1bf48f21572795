/**
 * Schema of the configuration document. A document is adopted as a whole. Unknown fields are
 * refused, so that a misspelled field does not go unnoticed. All durations are in milliseconds.
 */
import {isIPv4, isIPv6} from 'node:net';
import {z} from 'zod';

const identifier = z
	.string()
	.regex(/^[a-z\d][a-z\d._-]{0,63}$/, 'must be 1 to 64 of a-z, 0-9, ".", "_" and "-"');
const maxPort = 65_535;

function isAddress(text: string): boolean {
	const [, ipv6, ipv4, port] = /^(?:\[([^\]]+)]|([\d.]+)):(\d{1,5})$/.exec(text) ?? [];
	const isPort = Number(port) >= 1 && Number(port) <= maxPort;
	return isPort && (isIPv4(ipv4 ?? '') || isIPv6(ipv6 ?? ''));
}

const millisecondsBetween = (min: number, max: number) => z.number().int().min(min).max(max);
const maxDurationMs = 3_600_000;
/** Default of `floor` of a service. */
export const defaultFloor = 0.7;

const fleet = z.strictObject({
	/** Maximum number of instances alive at once (D on the design page). */
	maxInstances: z.number().int().min(1).max(10_000),
	/** Maximum fraction of a rate, 0 to 1, that instances without a majority of the fleet may use. */
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
	/** Maximum concurrent requests at one target that has warmed up. */
	slots: z.number().int().min(1).max(1024),
	/** Maximum connections to one target from all instances together. */
	connections: z.number().int().min(1).max(65_535).default(330),
	/** Maximum concurrent requests at one cold target, that is before its warm-up (slow start). */
	coldSlots: z.number().int().min(1).max(1024).default(1),
	/** Successful responses after which a target that warms up gets one more slot. */
	warmUpAnswers: z.number().int().min(1).max(100_000).default(20),
	/** Minimum time between two steps of the warm-up, each of which adds one slot. */
	warmUpStep: millisecondsBetween(0, maxDurationMs).default(2000),
	/**
	 * Minimum fraction, 0 to 1, of the slots of the available targets that must be left when
	 * unhealthy targets are ejected.
	 */
	floor: z.number().min(0).max(1).default(defaultFloor),
	/**
	 * Minimum number of targets in a shard, unless the service has fewer; each shard has one
	 * coordinator.
	 */
	shardSize: z.number().int().min(1).max(256).default(4),
	tls: z.boolean().default(false),
	/** Maximum requests per second to one cold target from all instances together. */
	coldRate: z.number().positive().optional(),
	/** Time for which a target is cold after its start. */
	coldTime: millisecondsBetween(0, maxDurationMs).optional(),
});

const splitPart = z.strictObject({
	service: identifier,
	/** Proportion of the requests, relative to the weights of the other parts. */
	weight: z.number().min(0),
});

const expectation = z.strictObject({
	/** Minimum size of the body of a successful response, bytes. */
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
	/** Services among which the requests are divided by weight, in place of `service`. */
	split: z.array(splitPart).min(1).optional(),
	/** Priority of the route under overload; 0 is the highest. */
	priority: z.number().int().min(0).optional(),
	/** Latency that the responses of the route should not exceed; half of `timeout` by default. */
	latencyObjective: millisecondsBetween(1, maxDurationMs).optional(),
	/** Whether responses are large, so that the network path to the target matters more. */
	isDownload: z.boolean().optional(),
	/** Maximum number of attempts of one request, including the first; 3 by default. */
	attempts: z.number().int().min(1).max(100).optional(),
	/**
	 * Whether requests need no key. Those without a valid key have no rate, and all those of a route
	 * share one entry of the fair queue.
	 */
	open: z.boolean().default(false),
	/**
	 * Time from the arrival of a request until its response head must have arrived, over all
	 * attempts. A caller may ask for less time.
	 */
	timeout: millisecondsBetween(1, maxDurationMs).default(10_000),
	/** Maximum time between two pieces of a response body before the response counts as stalled. */
	stallTimeout: millisecondsBetween(1, maxDurationMs).default(5000),
	/**
	 * Time from the arrival of a request until its whole response must have arrived. If absent, only
	 * `stallTimeout` limits the duration of a body.
	 */
	answerTimeout: millisecondsBetween(1, maxDurationMs).optional(),
	/** Methods whose requests may run more than once. */
	idempotentMethods: z
		.array(z.string().regex(/^[A-Z]+$/))
		.default(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']),
	expectation: expectation.prefault({}),
	/**
	 * What an instance does with requests once it has reached neither the configuration service nor a
	 * peer for 10 s; by default `serve` for open routes and `refuse` for others.
	 */
	onIsolation: z.enum(['serve', 'refuse']).optional(),
	/** Maximum size of a request body, bytes. */
	largestRequestBody: z.number().int().min(0).default(10_485_760),
	/** Name of a query parameter that may contain the key; it is removed before forwarding. */
	keyQueryParameter: z.string().min(1).optional(),
});

const workspace = z.strictObject({
	/** Requests per second over the whole fleet. */
	rate: z.number().positive(),
	/** Requests that may be admitted at once over the whole fleet: the size of its token bucket. */
	burst: z.number().min(1),
	/** Weight in the fair queue relative to other workspaces. */
	weight: z.number().positive().default(1),
	/** Overrides the priority of the route. */
	priority: z.number().int().min(0).optional(),
	/** SHA-256 digests of the keys, 64 lower-case hexadecimal digits each. */
	keyDigests: z.array(z.string().regex(/^[\da-f]{64}$/, 'must be a SHA-256 digest in hex')),
});

const idempotency = z.strictObject({
	/** Time for which the fleet remembers an idempotency key after its claim. */
	retention: millisecondsBetween(1000, maxDurationMs).default(120_000),
	/**
	 * Decision on an idempotency key that its owner has no record of, while the owner has had the
	 * hash bucket of the key for less than `retention` and may therefore lack earlier records.
	 */
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
