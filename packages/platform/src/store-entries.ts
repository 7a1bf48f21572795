/**
 * Values of the platform's store, decoded into the product's types. A value that cannot be read
 * names nothing; the others hold.
 */
import {Buffer} from 'node:buffer';
import {
	type ConfigurationDocument,
	type RouteDefinition,
	type ServiceDefinition,
	type WorkspaceDefinition,
} from '@shallotpond/configuration/document-schema';
import {digestKey} from '@shallotpond/configuration/key-digest';
import {type ListedTarget} from '@shallotpond/policy-routing/target-directory';
import {PlatformError} from '@shallotpond/io-platform/platform-error';
import {storeKeys} from './wire-names.js';

/** A target with the count by which its server numbers its check-ins. */
export type TargetEntry = ListedTarget & {readonly sequence: number};

type Fields = Readonly<Record<string, unknown>>;

export type ConfigurationEntry = {
	/** Milliseconds for which callers may leave a connection idle; undefined where nothing is said. */
	readonly callerIdleTimeout: number | undefined;
	/** All failure domains count as in service. */
	readonly document: Omit<ConfigurationDocument, 'failureDomains'>;
};

/** The kinds of routes, by whether their requests may run more than once. */
const repeatableKinds: ReadonlySet<string> = new Set(['safe', 'download']);
const allMethods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'];
/** Stands for no limit; far above what a fleet can serve. */
const unlimitedRate = 1_000_000_000;
/** Instances assumed before each target when idle connections are divided. */
const assumedInstances = 48;
const millisecondsPerSecond = 1000;
/** Milliseconds beyond the route's timeout; the platform counts an answer as held after 250. */
const answerReserve = 200;
const states: Readonly<Record<string, ListedTarget['state']>> = {
	ready: 'ready',
	draining: 'leaving',
};

function refuse(message: string, cause?: unknown): never {
	throw new PlatformError('malformed-answer', message, {cause});
}

function decodeFields(value: string): Fields {
	let fields: unknown;
	try {
		const bytes = Buffer.from(value, 'base64');
		fields = JSON.parse(new TextDecoder('utf8', {fatal: true}).decode(bytes));
	} catch (error) {
		refuse('the value is not JSON', error);
	}

	return toFields(fields, 'the value');
}

function toFields(value: unknown, name: string): Fields {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		refuse(`${name} is not a table`);
	}

	return value as Fields;
}

function toText(value: unknown, name: string): string {
	return typeof value === 'string' && value !== '' ? value : refuse(`${name} is not text`);
}

function toNumber(value: unknown, name: string): number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0
		? value
		: refuse(`${name} is not a number`);
}

/** 0 stands for no limit, like a field that is missing. */
function toLimit(value: unknown): number | undefined {
	return value === 0 ? undefined : toOptionalNumber(value);
}

function toOptionalNumber(value: unknown): number | undefined {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : undefined;
}

function toList(value: unknown, name: string): unknown[] {
	return Array.isArray(value) ? (value as unknown[]) : refuse(`${name} is not a list`);
}

/** Throws a `PlatformError` where the value names no target. */
export function decodeTarget(key: string, value: string): TargetEntry {
	const entry = decodeFields(value);
	// `info` is fixed for the life of a server, `status` is what it says at each check-in.
	const info = toFields(entry.info, 'info');
	const status = toFields(entry.status, 'status');
	const state = states[toText(status.state, 'state')];
	const address = toText(entry.address, 'address');
	if (state === undefined || !/^(?:\d+\.){3}\d+:\d+$/.test(address)) {
		refuse('state or address is not known');
	}

	return {
		id: key.slice(storeKeys.targetPrefix.length),
		// Wall clock of the server, not of the store.
		bornAt: toOptionalNumber(entry.born) ?? 0,
		service: toText(info.service, 'service'),
		address,
		failureDomain: toText(info.zone, 'zone'),
		slots: Math.max(1, toNumber(info.slots, 'slots')),
		state,
		coldFor: toOptionalNumber(status.cold_remaining_ms) ?? 0,
		sequence: toNumber(status.sequence, 'sequence'),
	};
}

function decodeRoute(value: unknown, hasWorkspaces: boolean): RouteDefinition {
	const route = toFields(value, 'route');
	const kind = toText(route.kind, 'kind');
	const timeout = toNumber(route.timeout_ms, 'timeout_ms');
	const split = Array.isArray(route.traffic_split)
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
		service: split?.[0]?.service ?? toText(route.service, 'service'),
		split,
		priority: toOptionalNumber(route.priority),
		latencyObjective: toOptionalNumber(route.target_latency_ms),
		isDownload: kind === 'download',
		attempts: toOptionalNumber(route.max_attempts),
		open: route.public === true || !hasWorkspaces,
		timeout,
		// The route's timeout covers the whole answer, whose last bytes may be under way when it ends.
		stallTimeout: timeout,
		answerTimeout: timeout + answerReserve,
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

/** Versions are written as `r` and a number. */
function decodeVersion(value: unknown): number {
	const digits = /^r(?<number>\d{1,15})$/.exec(toText(value, 'version'))?.groups?.number;
	return digits === undefined ? refuse('version is not known') : Number(digits);
}

/**
 * Throws a `PlatformError` where the value is no whole configuration. The floor of all services is a
 * setting of the process; the store does not repeat it.
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
