/**
 * Distributes the platform's list of instances and targets. The instances that watch the
 * configuration service also read this list every second and announce its digest. An instance whose
 * own list has another digest requests the list from the announcer.
 */
import {parseInstanceList, type InstanceList} from '@shallotpond/configuration/instance-list';
import {digestBytes, toCanonicalJson} from '@shallotpond/configuration/document-digest';
import {type Clock} from '@shallotpond/kernel/clock';
import {type KernelService} from '@shallotpond/kernel/kernel';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type MembershipService} from './membership-service.js';
import {type Outbox, type PeerRouter} from './peer-router.js';

type ListDigest = {readonly kind: 'instance-list-digest'; readonly digest: string};
type ListRequest = {readonly kind: 'instance-list-request'};
type ListMessage = {readonly kind: 'instance-list'; readonly list: unknown};

export type InstanceListService = KernelService & {
	/** Handles a list that was read from the platform. */
	handleServedList(list: InstanceList): void;
	/**
	 * Sets whether this instance announces the digest of its list to the other instances; if so, also
	 * announces it now.
	 */
	setAnnouncing(isAnnouncing: boolean): void;
};

export type InstanceListServiceOptions = {
	readonly clock: Clock;
	readonly membership: MembershipService;
	readonly router: PeerRouter;
	readonly metrics: Metrics;
	/** Called with each list that differs from the one before. */
	readonly onList: (list: InstanceList) => void;
};

/** Announcements are repeated in case one was lost. */
const announcementIntervalMs = 5000;

export function createInstanceListService(
	options: InstanceListServiceOptions,
): InstanceListService {
	const {clock, membership, router, metrics, onList} = options;
	let currentList: InstanceList | undefined;
	let currentDigest = '';
	let isAnnouncing = false;
	let cancelAnnouncements: (() => void) | undefined;

	function announce(): void {
		if (!isAnnouncing || currentList === undefined) {
			return;
		}

		const message: ListDigest = {kind: 'instance-list-digest', digest: currentDigest};
		const {members} = membership.membership.view(clock.monotonic());
		router.send(members.filter(to => to !== router.self).map(to => ({to, message})));
	}

	/** Returns false if the list equals the current one. */
	function adopt(list: InstanceList): boolean {
		const newDigest = digestBytes(toCanonicalJson(list));
		if (newDigest === currentDigest) {
			return false;
		}

		currentList = list;
		currentDigest = newDigest;
		onList(list);
		return true;
	}

	function handleList({list}: ListMessage): undefined {
		try {
			adopt(parseInstanceList(list));
		} catch {
			metrics.count('instance-lists-refused');
		}
	}

	router.register(['instance-list-digest'], (message: ListDigest, from): Outbox => {
		const isKnown = message.digest === currentDigest;
		const request: ListRequest = {kind: 'instance-list-request'};
		return isKnown ? [] : [{to: from, message: request}];
	});
	router.register(['instance-list-request'], (_message: ListRequest, from): Outbox => {
		const message: ListMessage = {kind: 'instance-list', list: currentList};
		return currentList === undefined ? [] : [{to: from, message}];
	});
	router.register(['instance-list'], handleList);

	return {
		start() {
			cancelAnnouncements = clock.every(announcementIntervalMs, announce);
		},
		stop() {
			cancelAnnouncements?.();
		},
		handleServedList(list) {
			if (adopt(list)) {
				announce();
			}
		},
		setAnnouncing(shouldAnnounce) {
			isAnnouncing = shouldAnnounce;
			announce();
		},
	};
}
