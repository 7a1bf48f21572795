/**
 * Encodes what the platform, its operators, callers and targets send, from the terms of this
 * project into the platform's. It is used by stand-ins in tests; the program itself only decodes
 * these formats.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type ListedTarget} from '@shallotpond/policy-routing/target-directory';
import {type PlatformSettings} from './platform-settings.js';
import {headerNames, platformPaths, storeKeys} from './wire-names.js';

export type StandInRoute = {
	readonly name: string;
	readonly host: string;
	readonly prefix: string;
	readonly kind: 'safe' | 'unsafe' | 'download';
	readonly service: string;
	/** Milliseconds. */
	readonly timeout: number;
	/** Latency objective. Milliseconds. */
	readonly objective: number;
	readonly attempts: number;
};

export type StandInWorkspace = {
	readonly name: string;
	readonly keys: readonly string[];
	/** Requests per second; 0 for no limit. */
	readonly rate: number;
	readonly burst: number;
};

export type StandInConfiguration = {
	readonly version: number;
	readonly routes: readonly StandInRoute[];
	readonly services: readonly string[];
	readonly workspaces: readonly StandInWorkspace[];
	/** Requests per second that a cold target can handle, and seconds for which it is cold. */
	readonly coldRate: number;
	readonly coldSeconds: number;
};

/** The bounds that the platform sets. */
export type PlatformBounds = Required<
	Pick<
		PlatformSettings,
		'revocationLimit' | 'stopLimit' | 'retryBudget' | 'rateBound' | 'coldBound'
	>
>;

export type StandInSettings = {
	readonly name: string;
	readonly address: string;
	readonly failureDomain: string;
	readonly failureDomains: readonly string[];
	readonly callersPort: number;
	readonly readinessPort: number;
	readonly internalPorts: readonly [number, number];
	readonly seeds: readonly string[];
	/** `ip:port`. */
	readonly store: string;
	readonly terms: PlatformBounds;
	/** Memory, MB, and file descriptors that the process may use; not encoded if absent. */
	readonly limits?: {readonly memory: number; readonly descriptors: number};
};

export const storeKeyOf = {
	configuration: storeKeys.configuration,
	target: (id: string) => `${storeKeys.targetPrefix}${id}`,
	evacuation: (domain: string) => `${storeKeys.evacuationPrefix}${domain}`,
} as const;

export const readinessPath = platformPaths.ready;

const connectionsPerTarget = 300;
const millisecondsPerSecond = 1000;

export function encodeConfiguration(configuration: StandInConfiguration): unknown {
	return {
		version: `r${configuration.version}`,
		routes: configuration.routes.map(route => ({
			name: route.name,
			host: route.host,
			prefix: route.prefix,
			kind: route.kind,
			service: route.service,
			timeout_ms: route.timeout,
			target_latency_ms: route.objective,
			max_attempts: route.attempts,
			priority: 1,
			public: false,
		})),
		services: configuration.services.map(name => ({
			name,
			health_path: '/health',
			max_connections: connectionsPerTarget,
			cold_s: configuration.coldSeconds,
			cold_per_s: configuration.coldRate,
		})),
		limits: {idle_timeout_ms: 15_000},
		tenants: configuration.workspaces.map(({name, keys, rate, burst}) => ({
			name,
			api_keys: keys,
			priority: 1,
			rate_per_s: rate,
			burst,
		})),
	};
}

export function encodeTarget(target: ListedTarget, sequence: number): unknown {
	return {
		address: target.address,
		born: target.startTime,
		info: {
			service: target.service,
			version: 'v1',
			zone: target.failureDomain,
			slots: target.slots,
		},
		status: {
			state: target.state === 'ready' ? 'ready' : 'draining',
			sequence,
			cold_remaining_ms: target.coldFor,
		},
	};
}

function encodePlatformBounds({
	revocationLimit,
	stopLimit,
	retryBudget,
	rateBound,
	coldBound,
}: PlatformBounds) {
	return {
		strict_revoke: true,
		revoke_ms: revocationLimit,
		grace_s: stopLimit / millisecondsPerSecond,
		retry_budget_ratio: retryBudget.ratio,
		budget_extra: retryBudget.reserve,
		budget_window_s: retryBudget.window / millisecondsPerSecond,
		quota_window_s: rateBound.window / millisecondsPerSecond,
		quota_excess: rateBound.excess,
		quota_slack: rateBound.slack,
		cold_excess: coldBound.excess,
		cold_slack: coldBound.slack,
	};
}

export function encodeSettings(settings: StandInSettings): unknown {
	const {address, limits} = settings;
	return {
		self: {
			node: settings.name,
			ip: address,
			zone: settings.failureDomain,
			...(limits && {limits: {memory_mb: limits.memory, max_fds: limits.descriptors}}),
		},
		network: {
			listen: {
				front: `${address}:${settings.callersPort}`,
				ready: `${address}:${settings.readinessPort}`,
			},
			internal_ports: settings.internalPorts,
			seeds: settings.seeds,
			zones: Object.fromEntries(settings.failureDomains.map(name => [name, 'region'])),
		},
		platform: {platform: {address: settings.store, form: 'read'}},
		terms: {bounds: encodePlatformBounds(settings.terms)},
	};
}

export function encodeCallerHeaders(request: {
	readonly id: string;
	readonly key: string;
	/** Milliseconds. */
	readonly timeout: number;
}): Record<string, string> {
	return {
		[headerNames.requestId]: request.id,
		[headerNames.key]: request.key,
		[headerNames.deadline]: String(request.timeout),
	};
}

/** What a target reads from the headers of a request. */
export function readTargetHeaders(headers: IncomingHttpHeaders) {
	return {
		id: headers[headerNames.requestId] as string | undefined,
		workspace: headers[headerNames.workspace] as string | undefined,
		target: headers[headerNames.target] as string | undefined,
		hasKey: headers[headerNames.key] !== undefined,
	};
}

export function encodeResponseHeaders(id: string, seal: string): Record<string, string> {
	return {[headerNames.requestId]: id, [headerNames.responseSeal]: seal};
}

export function readResponseSeal(headers: IncomingHttpHeaders): string | undefined {
	return headers[headerNames.responseSeal] as string | undefined;
}

export const notExecutedHeaders: Readonly<Record<string, string>> = {
	[headerNames.notExecuted]: '1',
};
