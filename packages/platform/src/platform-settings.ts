/**
 * Decodes the settings file of a process on the platform into the terms of this project. Fields
 * that are not read here belong to other products or to options that are not used.
 */
import {readFile} from 'node:fs/promises';
import {defaultFloor} from '@shallotpond/configuration/document-schema';
import {parseSocketAddress, type SocketAddress} from '@shallotpond/kernel/setting-kinds';
import {PlatformError} from '@shallotpond/io-platform/platform-error';
import {type ColdBound} from '@shallotpond/policy-routing/cold-target-permits';
import {type RateBound} from '@shallotpond/policy-routing/workspace-rate-limiter';

export type PlatformSettings = {
	/** Whether the whole fleet starts for the first time, so that no caller waits yet. */
	readonly isFirstStart: boolean;
	/** Name of the machine, for logs. */
	readonly instance: string;
	/** IP address of the machine. */
	readonly address: string;
	readonly failureDomain: string;
	/** All failure domains of the deployment. */
	readonly failureDomains: readonly string[];
	/** Where callers connect. */
	readonly callers: SocketAddress;
	/** Where the load balancer checks whether this instance is ready. */
	readonly readiness: SocketAddress;
	/** First and last of the ports that are free for traffic between instances. */
	readonly internalPorts: readonly [number, number];
	/** IP addresses of up to three instances; may be out of date. */
	readonly seeds: readonly string[];
	/** Address of the platform's store, which publishes the configuration and the targets. */
	readonly store: SocketAddress;
	/**
	 * Time within which a withdrawn key must be rejected everywhere. Milliseconds; undefined if the
	 * platform does not require it.
	 */
	readonly revocationLimit: number | undefined;
	/** Memory that the process may use, bytes; undefined if not specified. */
	readonly memory: number | undefined;
	/** Maximum open file descriptors of the process; undefined if not specified. */
	readonly descriptors: number | undefined;
	/** Milliseconds from SIGTERM to SIGKILL. */
	readonly stopLimit: number;
	/** Fraction of the healthy targets of a service that must stay in use, 0 to 1. */
	readonly floor: number;
	/**
	 * In each window, the fleet may send at most `ratio` times the number of its requests, plus
	 * `reserve`, as retries.
	 */
	readonly retryBudget: {
		readonly ratio: number;
		readonly reserve: number;
		/** Milliseconds. */
		readonly window: number;
	};
	/** The window for which the rates of workspaces hold, and how far the fleet may exceed them. */
	readonly rateBound: RateBound;
	/** How many requests of the fleet a cold target may get within a second. */
	readonly coldBound: ColdBound;
};

type Fields = Readonly<Record<string, unknown>>;

const millisecondsPerSecond = 1000;
const bytesPerMegabyte = 1_048_576;
const maxPort = 65_535;

function isPort(value: unknown): value is number {
	return Number.isInteger(value) && (value as number) > 0 && (value as number) <= maxPort;
}

/** Reads fields and collects all problems, so that one error message names every invalid field. */
class SettingsReader {
	readonly problems: string[] = [];

	object(parent: Fields, name: string): Fields {
		const value = parent[name];
		if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
			return value as Fields;
		}

		this.problems.push(`${name}: must be an object`);
		return {};
	}

	text(parent: Fields, name: string): string {
		const value = parent[name];
		if (typeof value === 'string' && value !== '') {
			return value;
		}

		this.problems.push(`${name}: must be a non-empty string`);
		return '';
	}

	number(parent: Fields, name: string): number {
		const value = parent[name];
		if (typeof value === 'number' && Number.isFinite(value) && value >= 0) {
			return value;
		}

		this.problems.push(`${name}: must be a non-negative number`);
		return 0;
	}

	optionalNumber(parent: Fields, name: string): number | undefined {
		return parent[name] === undefined ? undefined : this.number(parent, name);
	}

	address(parent: Fields, name: string): SocketAddress {
		const address = parseSocketAddress(this.text(parent, name));
		if (address !== undefined) {
			return address;
		}

		this.problems.push(`${name}: must be an IP address and a port`);
		return {host: '', port: 0};
	}

	portRange(parent: Fields, name: string): readonly [number, number] {
		const value = parent[name];
		const [first, last] = Array.isArray(value) ? (value as unknown[]) : [];
		if (isPort(first) && isPort(last)) {
			return [first, last];
		}

		this.problems.push(`${name}: must be the first and the last port`);
		return [0, 0];
	}
}

function readSeeds(network: Fields): string[] {
	const {seeds} = network;
	if (!Array.isArray(seeds)) {
		return [];
	}

	// Invalid seeds are left out instead of reported: they have no more effect than seeds that are
	// down.
	return seeds.flatMap(seed => parseSocketAddress(String(seed))?.host ?? []);
}

/** Throws a `PlatformError` (`malformed-settings`) that names every invalid field. */
export function decodeSettings(text: string): PlatformSettings {
	const reader = new SettingsReader();
	let content: unknown;
	try {
		content = JSON.parse(text);
	} catch (error) {
		throw new PlatformError('malformed-settings', 'the settings file is not JSON', {cause: error});
	}

	const file = reader.object({file: content}, 'file');
	const self = reader.object(file, 'self');
	const network = reader.object(file, 'network');
	const listen = reader.object(network, 'listen');
	// In the file, the settings of the store are the object `platform` inside the object `platform`.
	const store = reader.object(reader.object(file, 'platform'), 'platform');
	const bounds = reader.object(reader.object(file, 'terms'), 'bounds');
	const limits = self.limits === undefined ? {} : reader.object(self, 'limits');
	const memory = reader.optionalNumber(limits, 'memory_mb');
	const settings: PlatformSettings = {
		instance: reader.text(self, 'node'),
		isFirstStart: self.bootstrap === true,
		address: reader.text(self, 'ip'),
		failureDomain: reader.text(self, 'zone'),
		failureDomains: Object.keys(reader.object(network, 'zones')),
		callers: reader.address(listen, 'front'),
		readiness: reader.address(listen, 'ready'),
		internalPorts: reader.portRange(network, 'internal_ports'),
		seeds: readSeeds(network),
		store: reader.address(store, 'address'),
		revocationLimit: bounds.strict_revoke === true ? reader.number(bounds, 'revoke_ms') : undefined,
		memory: memory === undefined ? undefined : memory * bytesPerMegabyte,
		descriptors: reader.optionalNumber(limits, 'max_fds'),
		stopLimit: reader.number(bounds, 'grace_s') * millisecondsPerSecond,
		floor: reader.optionalNumber(bounds, 'floor_share') ?? defaultFloor,
		retryBudget: {
			ratio: reader.number(bounds, 'retry_budget_ratio'),
			reserve: reader.number(bounds, 'budget_extra'),
			window: reader.number(bounds, 'budget_window_s') * millisecondsPerSecond,
		},
		rateBound: {
			window: reader.number(bounds, 'quota_window_s') * millisecondsPerSecond,
			excess: reader.number(bounds, 'quota_excess'),
			slack: reader.number(bounds, 'quota_slack'),
		},
		coldBound: {
			excess: reader.optionalNumber(bounds, 'cold_excess') ?? 1,
			slack: reader.optionalNumber(bounds, 'cold_slack') ?? 0,
		},
	};
	if (reader.problems.length > 0) {
		throw new PlatformError('malformed-settings', reader.problems.join('; '));
	}

	return settings;
}

/** Rejects with a `PlatformError` (`malformed-settings`) if the file cannot be read or is invalid. */
export async function readSettingsFile(path: string): Promise<PlatformSettings> {
	let text: string;
	try {
		text = await readFile(path, 'utf8');
	} catch (error) {
		throw new PlatformError('malformed-settings', `cannot read "${path}"`, {cause: error});
	}

	return decodeSettings(text);
}
