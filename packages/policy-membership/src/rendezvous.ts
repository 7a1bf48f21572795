/**
 * Rendezvous (highest random weight) hashing: every instance that knows the same members determines
 * the same winner of a resource, and removing a member moves only the resources that it had won.
 */
import {createHash} from 'node:crypto';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type ResourceName} from './share-fraction.js';

/**
 * Identifies a set of members: the first 16 characters of the base64url SHA-256 of the sorted ids,
 * joined by line feeds.
 */
export type ViewDigest = string;

/** An immutable set of members; caches the winners of the resources that are looked up. */
export type View = {
	readonly digest: ViewDigest;
	/** Sorted, without duplicates. */
	readonly members: readonly InstanceId[];
	has(instance: InstanceId): boolean;
	/**
	 * The member with the highest score, `undefined` in an empty view. The first look-up of a
	 * resource is linear in the members; further ones are one map access.
	 */
	winner(resource: ResourceName): InstanceId | undefined;
	/** All members, highest score first; not cached, O(n log n) in the members. */
	ranking(resource: ResourceName): readonly InstanceId[];
};

/** Characters. */
const digestLength = 16;

/**
 * Maximum cached winners per view; a full cache is cleared. The planned fleet has 44,000 workspaces
 * and a few thousand shards, so their winners fit.
 */
const maxCachedWinners = 65_536;

/* eslint-disable no-bitwise -- integer arithmetic on 32 bits */
/** The 32-bit finalizer of MurmurHash3: each bit of the value affects all bits of the result. */
function mix(value: number): number {
	let mixed = Math.imul(value ^ (value >>> 16), 0x85_eb_ca_6b);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2_b2_ae_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** FNV-1a over UTF-16 code units with a final mix: 32 bits, not cryptographic. */
export function hashText(text: string): number {
	let hash = 0x81_1c_9d_c5;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line unicorn/prefer-code-point -- code units are enough for a hash
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93);
	}

	return mix(hash);
}

/** The rendezvous weight of a member for a resource, 0 to 2^32 - 1. */
function score(memberHash: number, resourceHash: number): number {
	return mix(Math.imul(memberHash, 0x9e_37_79_b1) ^ resourceHash);
}
/* eslint-enable no-bitwise */

export function createView(instances: Iterable<InstanceId>): View {
	const members = [...new Set(instances)].sort();
	const memberSet = new Set(members);
	const winners = new Map<ResourceName, InstanceId>();
	let cachedHashes: readonly number[] | undefined;

	/**
	 * Computed on first use, because many views created at start-up are replaced before any look-up.
	 */
	function memberHashes(): readonly number[] {
		cachedHashes ??= members.map(member => hashText(member));
		return cachedHashes;
	}

	function findWinner(resource: ResourceName): InstanceId | undefined {
		const resourceHash = hashText(resource);
		const hashes = memberHashes();
		let best: InstanceId | undefined;
		let bestScore = -1;
		// Equal scores go to the member that sorts first.
		for (const [index, member] of members.entries()) {
			const memberScore = score(hashes[index]!, resourceHash);
			if (memberScore > bestScore) {
				best = member;
				bestScore = memberScore;
			}
		}

		return best;
	}

	return {
		digest: createHash('sha256')
			.update(members.join('\n'))
			.digest('base64url')
			.slice(0, digestLength),
		members,
		has: instance => memberSet.has(instance),
		winner(resource) {
			const cached = winners.get(resource);
			if (cached !== undefined) {
				return cached;
			}

			const found = findWinner(resource);
			if (found !== undefined) {
				if (winners.size >= maxCachedWinners) {
					winners.clear();
				}

				winners.set(resource, found);
			}

			return found;
		},
		ranking(resource) {
			const resourceHash = hashText(resource);
			const hashes = memberHashes();
			return members
				.map((member, index) => ({member, memberScore: score(hashes[index]!, resourceHash)}))
				.sort((left, right) => right.memberScore - left.memberScore)
				.map(({member}) => member);
		},
	};
}
