/**
 * Decodes the values of the platform's store into the types of this project. Each value is decoded
 * separately, so that an invalid one does not affect the others.
 */
import {Buffer} from 'node:buffer';
import {isIPv4} from 'node:net';
import {
	type ConfigurationDocument,
	type RouteDefinition,
	type ServiceDefinition,
	type WorkspaceDefinition,
} from '@shallotpond/configuration/document-schema';
import {parseSocketAddress} from '@shallotpond/kernel/setting-kinds';
import {digestKey} from '@shallotpond/configuration/key-digest';
import {unknownStartTime, type ListedTarget} from '@shallotpond/policy-routing/target-directory';
import {PlatformError} from '@shallotpond/io-platform/platform-error';
import {storeKeys} from './wire-names.js';

/** A target with the sequence number of its latest check-in. */
export type TargetEntry = ListedTarget & {readonly sequence: number};

type Fields = Readonly<Record<string, unknown>>;

export type ConfigurationEntry = {
	/**
	 * Time for which callers may leave a connection idle. Milliseconds; undefined if not specified.
	 */
	readonly callerIdleTimeout: number | undefined;
	/** Without the states of the failure domains, which the store publishes in separate items. */
	readonly document: Omit<ConfigurationDocument, 'failureDomains'>;
};

/** Kinds of routes whose requests may run more than once. */
const repeatableKinds: ReadonlySet<string> = new Set(['safe', 'download']);
const allMethods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'];
/** Requests per second that stand for no limit; far more than a fleet can serve. */
const unlimitedRate = 1_000_000_000;
/** Number of instances assumed when the idle connections of a target are divided among them. */
const assumedInstances = 48;
const millisecondsPerSecond = 1000;
const idPattern = /^[!-~]{1,200}$/;
/** Far more requests at once than one process serves. */
const maxSlots = 1_000_000;
/** Milliseconds; a target is cold for seconds. A later check-in can extend the time. */
const maxColdTime = 3_600_000;
/** The largest time value of ECMAScript, Unix milliseconds. */
const maxTime = 8.64e15;
/**
 * Milliseconds beyond the route's timeout within which the response must be complete; 250 ms beyond
 * the timeout, the platform counts the response as held up.
 */
const responseReserve = 200;
const states: Readonly<Record<string, ListedTarget['state']>> = {
	ready: 'ready',
	draining: 'leaving',
};

function reject(message: string, cause?: unknown): never {
	throw new PlatformError('malformed-answer', message, {cause});
}

function decodeFields(value: string): Fields {
	let fields: unknown;
	try {
		const bytes = Buffer.from(value, 'base64');
		fields = JSON.parse(new TextDecoder('utf8', {fatal: true}).decode(bytes));
	} catch (error) {
		reject('the value is not JSON', error);
	}

	return toFields(fields, 'the value');
}

function toFields(value: unknown, name: string): Fields {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		reject(`${name} is not an object`);
	}

	return value as Fields;
}

function toText(value: unknown, name: string): string {
	return typeof value === 'string' && value !== ''
		? value
		: reject(`${name} is not a non-empty string`);
}

function toNumber(value: unknown, name: string, max = Number.MAX_VALUE): number {
	return typeof value === 'number' && value >= 0 && value <= max
		? value
		: reject(`${name} is not a number from 0 to ${max}`);
}

function toInteger(value: unknown, name: string, max: number): number {
	return Number.isInteger(value)
		? toNumber(value, name, max)
		: reject(`${name} is not a whole number`);
}

/** Returns undefined if there is no limit: the value is 0, invalid or missing. */
function toLimit(value: unknown): number | undefined {
	return value === 0 ? undefined : toOptionalNumber(value);
}

function toOptionalNumber(value: unknown): number | undefined {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : undefined;
}

function toList(value: unknown, name: string): unknown[] {
	return Array.isArray(value) ? (value as unknown[]) : reject(`${name} is not an array`);
}

/** Throws a `PlatformError` if the value is not a valid target. */
export function decodeTarget(key: string, value: string): TargetEntry {
	const entry = decodeFields(value);
	// `info` is fixed for the lifetime of a target process; `status` is updated at each check-in.
	const info = toFields(entry.info, 'info');
	const status = toFields(entry.status, 'status');
	const state = states[toText(status.state, 'state')];
	const address = toText(entry.address, 'address');
	const {host, port} = parseSocketAddress(address) ?? reject('address is invalid');
	if (state === undefined || !isIPv4(host) || port === 0) {
		reject('state or address is invalid');
	}

	const id = key.slice(storeKeys.targetPrefix.length);
	if (!idPattern.test(id)) {
		// The id is sent to the target in a header.
		reject('the id is not a word of visible ASCII characters');
	}

	return {
		id,
		// By the wall clock of the target's machine, not of the store.
		startTime: entry.born === undefined ? unknownStartTime : toInteger(entry.born, 'born', maxTime),
		service: toText(info.service, 'service'),
		address,
		failureDomain: toText(info.zone, 'zone'),
		slots: Math.max(1, toInteger(info.slots, 'slots', maxSlots)),
		state,
		coldFor:
			status.cold_remaining_ms === undefined
				? 0
				: toNumber(status.cold_remaining_ms, 'cold_remaining_ms', maxColdTime),
		sequence: toInteger(status.sequence, 'sequence', Number.MAX_SAFE_INTEGER),
	};
}

function decodeRoute(value: unknown, hasWorkspaces: boolean): RouteDefinition {
	const route = toFields(value, 'route');
	const kind = toText(route.kind, 'kind');
	const timeout = toNumber(route.timeout_ms, 'timeout_ms');
	const trafficSplit = Array.isArray(route.traffic_split)
		? route.traffic_split.map(item => {
				const part = toFields(item, 'traffic_split');
				return {
					service: toText(part.service, 'service'),
					weight: toNumber(part.weight, 'weight'),
				};
			})
		: undefined;
	return {
		id: toText(route.name, 'name'),
		hosts: [toText(route.host, 'host').toLowerCase()],
		pathPrefix: toText(route.prefix, 'prefix'),
		methods: [],
		service: trafficSplit?.[0]?.service ?? toText(route.service, 'service'),
		split: trafficSplit,
		priority: toOptionalNumber(route.priority),
		latencyObjective: toOptionalNumber(route.target_latency_ms),
		isDownload: kind === 'download',
		attempts: toOptionalNumber(route.max_attempts),
		open: route.public === true || !hasWorkspaces,
		timeout,
		// The route's timeout covers the whole response, whose last bytes may still be in transit when
		// the timeout ends.
		stallTimeout: timeout,
		answerTimeout: timeout + responseReserve,
		idempotentMethods: repeatableKinds.has(kind) ? allMethods : [],
		expectation: {smallestBody: 0, contentTypes: []},
		largestRequestBody: Number.MAX_SAFE_INTEGER,
	};
}

function decodeService(value: unknown, floor: number): [string, ServiceDefinition] {
	const service = toFields(value, 'service');
	return [
		toText(service.name, 'name'),
		{
			targets: [],
			slots: 1,
			connections: toNumber(service.max_connections, 'max_connections'),
			coldSlots: 1,
			warmUpAnswers: 1,
			warmUpStep: 0,
			floor,
			shardSize: 1,
			tls: service.tls === true,
			coldRate: toOptionalNumber(service.cold_per_s),
			coldTime: (toOptionalNumber(service.cold_s) ?? 0) * millisecondsPerSecond,
		},
	];
}

function decodeWorkspace(value: unknown): [string, WorkspaceDefinition] {
	const workspace = toFields(value, 'tenant');
	const rate = toLimit(workspace.rate_per_s) ?? unlimitedRate;
	return [
		toText(workspace.name, 'name'),
		{
			rate,
			burst: toLimit(workspace.burst) ?? rate,
			weight: 1,
			priority: toOptionalNumber(workspace.priority),
			keyDigests: toList(workspace.api_keys, 'api_keys').map(key =>
				digestKey(toText(key, 'api_keys')),
			),
		},
	];
}

/** Versions have the form `r<number>`. */
function decodeVersion(value: unknown): number {
	const digits = /^r(?<number>\d{1,15})$/.exec(toText(value, 'version'))?.groups?.number;
	return digits === undefined ? reject('version is invalid') : Number(digits);
}

/**
 * Throws a `PlatformError` if the value is not a complete configuration. The floor, the fraction of
 * healthy targets that must stay in use, is not in the store: it is a setting of the process and
 * the same for all services.
 */
export function decodeConfiguration(value: string, floor: number): ConfigurationEntry {
	const entry = decodeFields(value);
	const tenants = entry.tenants === undefined ? undefined : toList(entry.tenants, 'tenants');
	const limits = entry.limits === undefined ? {} : toFields(entry.limits, 'limits');
	return {
		callerIdleTimeout: toOptionalNumber(limits.idle_timeout_ms),
		document: {
			version: decodeVersion(entry.version),
			fleet: {maxInstances: assumedInstances, minorityFraction: 0},
			services: Object.fromEntries(
				toList(entry.services, 'services').map(item => decodeService(item, floor)),
			),
			routes: toList(entry.routes, 'routes').map(item => decodeRoute(item, tenants !== undefined)),
			workspaces: Object.fromEntries((tenants ?? []).map(item => decodeWorkspace(item))),
			idempotency: {retention: 1000, whenUnknown: 'accept'},
		},
	};
}
