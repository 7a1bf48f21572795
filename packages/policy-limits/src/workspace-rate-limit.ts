/**
 * The rate limit of a workspace, and the part of it that an owner may use with its fraction of the
 * shares.
 */
import {rateAuthority} from '@shallotpond/policy-membership/authority';
import {type ResourceName, type ShareFraction} from '@shallotpond/policy-membership/share-fraction';
import {slotGrantTtl} from '@shallotpond/policy-membership/timing';

export type WorkspaceRateLimit = {
	/** Requests per second. */
	readonly rate: number;
	/** Requests that may be admitted at once; a fractional part is not used. */
	readonly burst: number;
};

/** The rate limit of a workspace in the current configuration; undefined when there is none. */
export type RateLimitLookup = (workspace: string) => WorkspaceRateLimit | undefined;

/**
 * Milliseconds for which a grant is valid. It must be well below the 250 ms for which a request
 * waits (`tokenWaitTimeout`): a new owner grants nothing until the grants of earlier owners have
 * expired, and must then serve the backlog of that time before the waits end.
 */
export const tokenGrantTtl = 100;

/**
 * Milliseconds for which the owner counts a grant as valid. Clocks of two instances may differ in
 * speed by 1%, so this is longer than for the requester.
 */
export const ownerTokenGrantTtl = tokenGrantTtl * 1.01;

export function rateResource(workspace: string): ResourceName {
	return `rate:${workspace}`;
}

/**
 * Lower bound, 0 to 1, of the authority, which is the part of the limits that this instance may
 * use, at every moment from `from` to `now`. `isMajority` tells whether more than half of the
 * shares is known to have been lent to this instance all that time.
 *
 * `current` does not show whether shares were lent elsewhere and came back between two calls; only
 * `majoritySince` and `vested` show that the fraction did not fall in between. `vested` shows this
 * for the last `slotGrantTtl` only, so it does not count for a longer time.
 */
export function minAuthoritySince(
	fraction: ShareFraction,
	minorityFraction: number,
	from: number,
	now: number,
): {readonly authority: number; readonly isMajority: boolean} {
	const steadyFraction =
		now - from <= slotGrantTtl ? Math.min(fraction.vested, fraction.current) : 0;
	if (fraction.majoritySince !== undefined && fraction.majoritySince <= from) {
		return {
			authority: 1 - minorityFraction * (1 - Math.max(1 / 2, steadyFraction)),
			isMajority: true,
		};
	}

	return {
		authority: rateAuthority(steadyFraction, minorityFraction),
		isMajority: steadyFraction > 1 / 2,
	};
}

/**
 * Whole tokens that an owner with this authority may use of the burst. An owner with more than half
 * of the shares rounds up and others round down, so the sum over all owners is at most the burst,
 * and a burst of 1 stays usable when fewer than `fleet.maxInstances` instances run.
 */
export function tokenCapacity(burst: number, authority: number, isMajority: boolean): number {
	const product = Math.round(Math.floor(burst) * authority * 1e9) / 1e9;
	return isMajority ? Math.ceil(product) : Math.floor(product);
}
