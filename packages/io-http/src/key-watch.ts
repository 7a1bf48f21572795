/**
 * Ends the requests in progress of a key that was withdrawn. Looks only when another configuration
 * is in force; then the cost is linear in the requests in progress.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type LookupTables} from '@shallotpond/configuration/lookup-tables';

export type WatchedRequest = {
	readonly keyDigest: string;
	readonly workspace: string;
	/** Called once when the key is not active any more. */
	readonly onWithdrawn: () => void;
};

export type KeyWatch = {
	/** Watches until the returned function is called. */
	watch(request: WatchedRequest): () => void;
	stop(): void;
};

export function createKeyWatch(options: {
	readonly clock: Clock;
	readonly tables: () => LookupTables | undefined;
	/** Milliseconds between two checks. */
	readonly interval: number;
}): KeyWatch {
	const watched = new Set<WatchedRequest>();
	let checkedTables = options.tables();

	const {clock} = options;
	// eslint-disable-next-line unicorn/no-array-callback-reference, unicorn/no-array-method-this-argument -- a clock, not an array
	const stop = clock.every(options.interval, () => {
		const tables = options.tables();
		if (tables === checkedTables || tables === undefined) {
			return;
		}

		checkedTables = tables;
		for (const request of watched) {
			if (!tables.isActiveKeyDigest(request.keyDigest, request.workspace)) {
				watched.delete(request);
				request.onWithdrawn();
			}
		}
	});

	return {
		watch(request) {
			watched.add(request);
			return () => {
				watched.delete(request);
			};
		},
		stop,
	};
}
