/**
 * Finds the requests in progress whose key was withdrawn, so that they can be cancelled. Checks
 * them only after the configuration has changed; the cost is then linear in the requests in
 * progress.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type LookupTables} from '@shallotpond/configuration/lookup-tables';

export type WatchedRequest = {
	readonly keyDigest: string;
	readonly workspace: string;
	/** Called once when the key is no longer active. */
	readonly onWithdrawn: () => void;
};

export type KeyWithdrawalWatch = {
	/** Watches the request until the returned function is called. */
	watch(request: WatchedRequest): () => void;
	stop(): void;
};

export function createKeyWithdrawalWatch(options: {
	readonly clock: Clock;
	readonly tables: () => LookupTables | undefined;
	/** Milliseconds between two checks; 0 for none. */
	readonly interval: number;
}): KeyWithdrawalWatch {
	const watched = new Set<WatchedRequest>();
	let checkedTables = options.tables();

	function check(): void {
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
	}

	const {clock, interval} = options;
	const stop = interval === 0 ? () => undefined : clock.every(interval, check);

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
