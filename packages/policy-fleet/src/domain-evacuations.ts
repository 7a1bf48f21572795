/**
 * Decides which failure domains are evacuated. While the store is as new as it was, these are the
 * ones that it lists. When it comes back from an older copy, an evacuation may be missing that the
 * operator has not taken back. It is then held until the operator has had time to write it again,
 * and ends after that, because a removal that the copy already contains is not written again. Each
 * `now` is in milliseconds of the monotonic clock.
 */

export type DomainEvacuations = {
	/** Records that the store lists the evacuation of the domain. */
	add(domain: string): void;
	/** Records that the store has removed the evacuation, which ends at once. */
	remove(domain: string): void;
	/** Replaces all; if `isNewEra`, evacuations that are now missing are held. */
	replace(domains: readonly string[], isNewEra: boolean, now: number): void;
	/** Holds an evacuation of which another instance knows, for at most the hold time. */
	hold(domain: string, duration: number, now: number): void;
	isEvacuated(domain: string, now: number): boolean;
	/** The domains that the store lists. */
	listed(): readonly string[];
	/** The domains that are held although the store does not list them, and for how many ms. */
	held(now: number): ReadonlyArray<readonly [domain: string, remaining: number]>;
};

export type DomainEvacuationsOptions = {
	/** Milliseconds. */
	readonly holdTime: number;
};

export function createDomainEvacuations({holdTime}: DomainEvacuationsOptions): DomainEvacuations {
	let listedDomains = new Set<string>();
	const heldUntil = new Map<string, number>();

	const isHeld = (domain: string, now: number) => now < (heldUntil.get(domain) ?? 0);

	return {
		add(domain) {
			listedDomains.add(domain);
			heldUntil.delete(domain);
		},
		remove(domain) {
			listedDomains.delete(domain);
			heldUntil.delete(domain);
		},
		replace(domains, isNewEra, now) {
			const before = new Set(listedDomains);
			for (const domain of heldUntil.keys()) {
				if (isHeld(domain, now)) {
					before.add(domain);
				}
			}

			listedDomains = new Set(domains);
			for (const domain of listedDomains) {
				heldUntil.delete(domain);
			}

			const missing = [...before].filter(domain => isNewEra && !listedDomains.has(domain));
			for (const domain of missing) {
				heldUntil.set(domain, now + holdTime);
			}
		},
		hold(domain, duration, now) {
			if (!listedDomains.has(domain)) {
				const until = now + Math.min(duration, holdTime);
				heldUntil.set(domain, Math.max(until, heldUntil.get(domain) ?? 0));
			}
		},
		isEvacuated: (domain, now) => listedDomains.has(domain) || isHeld(domain, now),
		listed: () => [...listedDomains],
		held: now =>
			[...heldUntil]
				.filter(([, until]) => now < until)
				.map(([domain, until]) => [domain, until - now]),
	};
}
