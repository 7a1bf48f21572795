/**
 * Tracks which owner holds the share of each instance, so that fractions are always quotients of
 * whole shares.
 */
import {type ShareFraction} from '@shallotpond/policy-membership/share-fraction';

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
			// A share cannot come back before its owner has confirmed or its lease has ended.
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
