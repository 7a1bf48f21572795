/**
 * Gives the crash records to instances that join. A replacement starts with an empty table, and as
 * the owner of a fingerprint, or as the entry of a resent request, it would let a blocked request
 * through to a further target.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Outbound} from '@shallotpond/kernel/outbound';
import {createView} from '@shallotpond/policy-membership/rendezvous';
import {type CrashNotice} from './crash-messages.js';
import {type CrashTable} from './crash-table.js';

export type CrashTableSyncOptions = {
	readonly self: InstanceId;
	readonly table: CrashTable;
};

export type CrashTableSync = {
	/**
	 * Takes the members of the view, this instance included, and returns the records for those that
	 * are new. Called about every 50 ms; costs nothing but a comparison while the view stays.
	 */
	update(members: readonly InstanceId[], now: number): Array<Outbound<CrashNotice>>;
};

/** Several, because one of them may itself have joined a moment ago. */
const senders = 3;
/** No registry waits for this notice, and the receiver's confirmation of it is ignored. */
const unnumbered = 0;

export function createCrashTableSync({self, table}: CrashTableSyncOptions): CrashTableSync {
	let known: readonly InstanceId[] = [];

	function noticesFor(joined: InstanceId, older: readonly InstanceId[], now: number) {
		const ranking = createView(older).ranking(`crash-table:${joined}`);
		if (!ranking.slice(0, senders).includes(self)) {
			return [];
		}

		return table.records(now).map(record => ({
			to: joined,
			message: {kind: 'crash-notice', id: unnumbered, record} as const,
		}));
	}

	return {
		update(members, now) {
			if (members === known) {
				return [];
			}

			const previous = new Set(known);
			const joined = members.filter(member => member !== self && !previous.has(member));
			const older = members.filter(member => previous.has(member));
			known = members;
			return joined.flatMap(member => noticesFor(member, older, now));
		},
	};
}
