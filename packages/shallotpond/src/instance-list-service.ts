/**
 * The platform's list of instances and targets. The instances that watch the configuration service
 * also read this list every second and announce the digest of what they read; the others fetch the
 * list from them when they have another one.
 */
import {parseInstanceList, type InstanceList} from '@shallotpond/configuration/instance-list';
import {digestBytes, toCanonicalJson} from '@shallotpond/configuration/document-digest';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Service} from '@shallotpond/kernel/kernel';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type MembershipService} from './membership-service.js';
import {type Outbox, type PeerRouter} from './peer-router.js';

type ListDigest = {readonly kind: 'instance-list-digest'; readonly digest: string};
type ListRequest = {readonly kind: 'instance-list-request'};
type ListAnswer = {readonly kind: 'instance-list'; readonly list: unknown};

export type InstanceListService = Service & {
	/** Takes a list that the platform served. */
	handleServedList(list: InstanceList): void;
	/** Whether this instance announces the lists that it reads. */
	setAnnouncing(isAnnouncing: boolean): void;
};

export type InstanceListServiceOptions = {
	readonly clock: Clock;
	readonly membership: MembershipService;
	readonly router: PeerRouter;
	readonly metrics: Metrics;
	readonly onList: (list: InstanceList) => void;
};

/** Repeated in case an announcement was lost. */
const announcementInterval = 5000;

export function createInstanceListService(
	options: InstanceListServiceOptions,
): InstanceListService {
	const {clock, membership, router, metrics, onList} = options;
	let current: InstanceList | undefined;
	let digest = '';
	let isAnnouncing = false;
	let cancelAnnouncements: (() => void) | undefined;

	function announce(): void {
		if (!isAnnouncing || current === undefined) {
			return;
		}

		const message: ListDigest = {kind: 'instance-list-digest', digest};
		const {members} = membership.membership.view(clock.monotonic());
		router.send(members.filter(to => to !== router.self).map(to => ({to, message})));
	}

	/** False when the list is the one in force. */
	function adopt(list: InstanceList): boolean {
		const nextDigest = digestBytes(toCanonicalJson(list));
		if (nextDigest === digest) {
			return false;
		}

		current = list;
		digest = nextDigest;
		onList(list);
		return true;
	}

	function takeAnswer({list}: ListAnswer): undefined {
		try {
			adopt(parseInstanceList(list));
		} catch {
			metrics.count('instance-lists-refused');
		}
	}

	router.register(['instance-list-digest'], (message: ListDigest, from): Outbox => {
		const isKnown = message.digest === digest;
		const request: ListRequest = {kind: 'instance-list-request'};
		return isKnown ? [] : [{to: from, message: request}];
	});
	router.register(['instance-list-request'], (_message: ListRequest, from): Outbox => {
		const message: ListAnswer = {kind: 'instance-list', list: current};
		return current === undefined ? [] : [{to: from, message}];
	});
	router.register(['instance-list'], takeAnswer);

	return {
		start() {
			cancelAnnouncements = clock.every(announcementInterval, announce);
		},
		stop() {
			cancelAnnouncements?.();
		},
		handleServedList(list) {
			if (adopt(list)) {
				announce();
			}
		},
		setAnnouncing(next) {
			isAnnouncing = next;
			announce();
		},
	};
}
