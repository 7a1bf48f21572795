/**
 * Detects that a target was out of reach of the whole fleet. A target that returns from an outage
 * may have restarted and be cold, and its entry at the platform may not show this for seconds. One
 * instance that fails to connect cannot tell an outage from a broken path, so several instances must
 * have failed while no instance had a response of the target. A failure domain that is cut off from
 * the target is a broken path, too: unless one of the instances is in the domain of the target, they
 * must be in two domains. Each `now` is in milliseconds of the monotonic clock.
 */
export type OutageReporter = {readonly address: string; readonly failureDomain: string};

export type OutageTarget = {readonly incarnation: string; readonly failureDomain: string};

export type TargetOutages = {
	/**
	 * Records that an instance could not connect to the target. Returns whether the target is out of
	 * reach of the fleet.
	 */
	recordFailure(target: OutageTarget, reporter: OutageReporter, now: number): boolean;
	/**
	 * Records that an instance had a response of the target. Returns whether this ends an outage.
	 */
	recordResponse(incarnation: string, now: number): boolean;
	/** Removes targets without failures or responses for a minute. */
	prune(now: number): void;
};

/** Instances that must have failed to connect since the last response of the target. */
const minReporters = 3;
/**
 * Milliseconds without a response of the target. A busy target that refuses some connections
 * responds to others all the time.
 */
const minSilenceMs = 500;
const retentionMs = 60_000;

type Contact = {
	/**
	 * Instances that have failed to connect since the last response: failure domains by address.
	 */
	reporters: Map<string, string>;
	/** Time of the last response, or of the first failure of a target without a response. */
	respondedAt: number;
	isOut: boolean;
	updatedAt: number;
};

export function createTargetOutages(): TargetOutages {
	const contacts = new Map<string, Contact>();

	function contactOf(incarnation: string, now: number): Contact {
		let contact = contacts.get(incarnation);
		if (contact === undefined) {
			contact = {reporters: new Map(), respondedAt: now, isOut: false, updatedAt: now};
			contacts.set(incarnation, contact);
		}

		contact.updatedAt = now;
		return contact;
	}

	return {
		recordFailure({incarnation, failureDomain}, reporter, now) {
			const contact = contactOf(incarnation, now);
			contact.reporters.set(reporter.address, reporter.failureDomain);
			const domains = new Set(contact.reporters.values());
			contact.isOut ||=
				contact.reporters.size >= minReporters &&
				(domains.has(failureDomain) || domains.size > 1) &&
				now - contact.respondedAt >= minSilenceMs;
			return contact.isOut;
		},
		recordResponse(incarnation, now) {
			const contact = contactOf(incarnation, now);
			const wasOut = contact.isOut;
			contact.reporters.clear();
			contact.isOut = false;
			contact.respondedAt = now;
			return wasOut;
		},
		prune(now) {
			for (const [incarnation, {updatedAt}] of contacts) {
				if (now - updatedAt > retentionMs) {
					contacts.delete(incarnation);
				}
			}
		},
	};
}
