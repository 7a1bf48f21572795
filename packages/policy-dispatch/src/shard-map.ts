/**
 * Divides the targets of a service into shards, each of which has one coordinator. Targets are
 * sorted by the hash of their id, so that targets next to each other in the configuration (often of
 * one rack or failure domain) are distributed over the shards.
 */
import {type DispatchSettings, type DispatchTarget} from './dispatch-settings.js';

export type ShardMap = {
	/** Targets of each shard, by shard number. */
	readonly shards: ReadonlyArray<readonly DispatchTarget[]>;
	/**
	 * Number of the shard of a target, or undefined for a target that is not in the configuration.
	 */
	shardOf(target: string): number | undefined;
};

/** Name of the resource whose owner coordinates the shard. */
export function shardResource(service: string, shard: number): string {
	return `shard:${service}/${shard}`;
}

/**
 * 32-bit FNV-1a over UTF-16 code units, followed by the finalizer of MurmurHash3. Gives the same
 * value on all instances; not cryptographic.
 */
function hash(text: string): number {
	/* eslint-disable no-bitwise -- integer arithmetic on 32 bits */
	let state = 0x81_1c_9d_c5;
	for (let index = 0; index < text.length; index++) {
		state = Math.imul(state ^ text.charCodeAt(index), 0x01_00_01_93); // eslint-disable-line unicorn/prefer-code-point
	}

	state = Math.imul(state ^ (state >>> 16), 0x85_eb_ca_6b);
	state = Math.imul(state ^ (state >>> 13), 0xc2_b2_ae_35);
	return (state ^ (state >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
}

/**
 * Every shard has at least `shardSize` targets (unless the service has fewer) and less than twice
 * as many. Remaining targets get no smaller shard of their own: in a shard of one to three targets,
 * none could be ejected under the default floor of 0.7. Costs O(n log n) in the targets; call it
 * once per configuration.
 */
export function createShardMap(service: DispatchSettings): ShardMap {
	const sorted = service.targets
		.map(target => ({target, order: hash(target.id)}))
		.sort((a, b) => a.order - b.order || (a.target.id < b.target.id ? -1 : 1));
	const count = Math.max(1, Math.floor(sorted.length / service.shardSize));
	const shards: DispatchTarget[][] = Array.from({length: count}, () => []);
	const shardOf = new Map<string, number>();
	for (const [index, {target}] of sorted.entries()) {
		const shard = Math.floor((index * count) / sorted.length);
		shards[shard]!.push(target);
		shardOf.set(target.id, shard);
	}

	return {shards, shardOf: target => shardOf.get(target)};
}
