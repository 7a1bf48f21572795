/**
 * Sends the crash records to instances that join, because their tables are empty. Without the
 * records, a new instance would let a blocked request through to a further target: as the owner of
 * its fingerprint, or when it receives the request itself.
 */
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {createView} from '@shallotpond/policy-membership/rendezvous';
import {type CrashNotice} from './crash-messages.js';
import {type CrashTable} from './crash-table.js';

export type CrashTableSyncOptions = {
	readonly self: InstanceId;
	readonly table: CrashTable;
};

export type CrashTableSync = {
	/**
	 * Compares the members of the view, this instance included, with those of the last call and
	 * returns the notices that this instance sends to new members. Called about every 50 ms; an
	 * unchanged view costs only a comparison.
	 */
	update(members: readonly InstanceId[], now: number): Array<OutboundMessage<CrashNotice>>;
};

/**
 * Number of members that send the records to a new member. More than one, because a sender may
 * itself have joined just before.
 */
const senderCount = 3;
/**
 * `id` of every notice to a new member. No registry waits for the confirmation of these notices, so
 * their ids need not differ.
 */
const syncNoticeId = 0;

export function createCrashTableSync({self, table}: CrashTableSyncOptions): CrashTableSync {
	let knownMembers: readonly InstanceId[] = [];

	function noticesFor(joined: InstanceId, older: readonly InstanceId[], now: number) {
		const ranking = createView(older).ranking(`crash-table:${joined}`);
		if (!ranking.slice(0, senderCount).includes(self)) {
			return [];
		}

		return table.records(now).map(record => ({
			to: joined,
			message: {kind: 'crash-notice', id: syncNoticeId, record} as const,
		}));
	}

	return {
		update(members, now) {
			if (members === knownMembers) {
				return [];
			}

			const previous = new Set(knownMembers);
			const joined = members.filter(member => member !== self && !previous.has(member));
			const older = members.filter(member => previous.has(member));
			knownMembers = members;
			return joined.flatMap(member => noticesFor(member, older, now));
		},
	};
}
