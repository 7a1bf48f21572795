/**
 * A stand-in for share lending in tests: records to which owner each instance lends its share of
 * one resource, so that the fractions of all owners are always quotients of whole shares.
 */
import {type ShareFraction} from '@shallotpond/policy-membership/share-fraction';

/** `since` in simulated milliseconds. */
type Lending = {owner: number | undefined; since: number};

export type ShareLedger = ReturnType<typeof createShareLedger>;

export function createShareLedger(total: number) {
	const lendings: Lending[] = Array.from({length: total}, () => ({owner: undefined, since: 0}));
	const majorities = new Map<number, number>();

	function current(owner: number): number {
		return lendings.filter(lending => lending.owner === owner).length / total;
	}

	return {
		move(lender: number, owner: number | undefined, now: number) {
			const lending = lendings[lender]!;
			const isTooSoon = lending.owner !== undefined && now - lending.since <= 100;
			// A lender can take its share back only once the owner has confirmed or the lease has ended.
			// `OwnShareBucket` assumes that this takes more than 100 ms.
			if (lending.owner === owner || (owner === undefined && isTooSoon)) {
				return;
			}

			lendings[lender] = {owner, since: now};
			for (const member of lendings.keys()) {
				const isMajority = current(member) > 1 / 2;
				if (!isMajority) {
					majorities.delete(member);
				} else if (!majorities.has(member)) {
					majorities.set(member, now);
				}
			}
		},
		ownerOf: (lender: number) => lendings[lender]!.owner,
		fraction(owner: number, now: number): ShareFraction {
			// 4,000 ms is the lifetime of a slot grant (`slotGrantTtl`).
			const vested = lendings.filter(
				lending => lending.owner === owner && now - lending.since >= 4000,
			);
			return {
				current: current(owner),
				vested: vested.length / total,
				majoritySince: majorities.get(owner),
			};
		},
	};
}
