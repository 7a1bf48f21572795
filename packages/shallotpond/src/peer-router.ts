/**
 * Delivers messages between the services of this instance and those of its peers. Services register
 * the kinds of messages that they handle; a message to this instance itself takes the same way
 * without a connection.
 */
import {createInbox} from '@shallotpond/kernel/inbox';
import {type Clock} from '@shallotpond/kernel/clock';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type Service} from '@shallotpond/kernel/kernel';
import {type Outbound} from '@shallotpond/kernel/outbound';
import {type PeerNetwork} from '@shallotpond/io-peer/peer-network';
import {type Metrics} from '@shallotpond/observability/metrics';

export type PeerMessage = {readonly kind: string};
export type Outbox = ReadonlyArray<Outbound<PeerMessage>>;

/** Returns what must be sent at once. */
export type MessageReceiver = (message: never, from: InstanceId, now: number) => Outbox | undefined;

export type PeerRouter = Service & {
	readonly self: InstanceId;
	/** Throws a `TypeError` when a kind has a receiver. */
	register(kinds: readonly string[], receive: MessageReceiver): void;
	send(outbox: Outbox): void;
	/** Entry point for messages from peers. */
	receive(from: InstanceId, message: unknown): void;
	setPeers(addresses: readonly string[]): void;
	confirm(from: InstanceId): void;
};

export type PeerRouterOptions = {
	/** Already started, because the identity of this instance contains its port. */
	readonly network: PeerNetwork;
	readonly clock: Clock;
	readonly metrics: Metrics;
};

type Delivery = {
	readonly kind: 'delivery';
	readonly from: InstanceId;
	readonly message: PeerMessage;
};

export function createPeerRouter(options: PeerRouterOptions): PeerRouter {
	const {network, clock, metrics} = options;
	const receivers = new Map<string, MessageReceiver>();

	function deliver({from, message}: Delivery): void {
		const receive = receivers.get(message.kind);
		if (receive === undefined) {
			metrics.count('peer-messages-unknown');
			return;
		}

		const outbox = receive(message as never, from, clock.monotonic());
		if (outbox !== undefined) {
			send(outbox);
		}
	}

	const inbox = createInbox<Delivery, undefined>({
		context: undefined,
		handlers: {delivery: deliver},
		// A message of a newer or broken peer must not stop this instance.
		onError() {
			metrics.count('peer-messages-failed');
		},
	});

	function send(outbox: Outbox): void {
		for (const {to, message} of outbox) {
			if (to === network.self) {
				inbox.send({kind: 'delivery', from: network.self, message});
			} else {
				network.send(to, message);
			}
		}
	}

	return {
		stop: async () => network.stop(),
		get self() {
			return network.self;
		},
		register(kinds, receive) {
			for (const kind of kinds) {
				if (receivers.has(kind)) {
					throw new TypeError(`messages of kind "${kind}" already have a receiver`);
				}

				receivers.set(kind, receive);
			}
		},
		send,
		receive(from, message) {
			if (isKinded(message)) {
				inbox.send({kind: 'delivery', from, message});
			} else {
				metrics.count('peer-messages-unknown');
			}
		},
		setPeers(addresses) {
			network.setPeers(addresses);
		},
		confirm(from) {
			network.recordConfirmation(from);
		},
	};
}

function isKinded(message: unknown): message is PeerMessage {
	return (
		typeof message === 'object' &&
		message !== null &&
		typeof (message as {kind?: unknown}).kind === 'string'
	);
}
