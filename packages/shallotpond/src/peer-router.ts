/**
 * Routes messages between the services of this instance and those of its peers. Services register
 * the kinds of messages that they handle. A message from this instance to itself reaches the same
 * handlers without a connection.
 */
import {createSynchronousMailbox} from '@shallotpond/kernel/synchronous-mailbox';
import {type Clock} from '@shallotpond/kernel/clock';
import {type InstanceId} from '@shallotpond/kernel/instance-id';
import {type KernelService} from '@shallotpond/kernel/kernel';
import {type OutboundMessage} from '@shallotpond/kernel/outbound-message';
import {type PeerNetwork} from '@shallotpond/io-peer/peer-network';
import {type Metrics} from '@shallotpond/observability/metrics';

export type PeerMessage = {readonly kind: string};
/** Messages to send, each with its recipient. */
export type Outbox = ReadonlyArray<OutboundMessage<PeerMessage>>;

/**
 * Handles a message and returns the messages to send at once, or undefined for none. `now` in
 * monotonic milliseconds.
 */
export type MessageHandler = (message: never, from: InstanceId, now: number) => Outbox | undefined;

export type PeerRouter = KernelService & {
	readonly self: InstanceId;
	/** Throws a `TypeError` if a kind already has a handler. */
	register(kinds: readonly string[], handler: MessageHandler): void;
	send(outbox: Outbox): void;
	/** Handles a message from a peer. */
	receive(from: InstanceId, message: unknown): void;
	/** Sets the addresses (`ip:port`) to stay connected to. */
	setPeers(addresses: readonly string[]): void;
	/** Records that the peer has confirmed a message from this instance. */
	recordConfirmation(from: InstanceId): void;
};

export type PeerRouterOptions = {
	/**
	 * Must be started before `self` is read and before messages are sent, because the identity of
	 * this instance contains the port that was bound.
	 */
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
	const handlersByKind = new Map<string, MessageHandler>();

	function deliver({from, message}: Delivery): void {
		const handler = handlersByKind.get(message.kind);
		if (handler === undefined) {
			metrics.count('peer-messages-unknown');
			return;
		}

		const outbox = handler(message as never, from, clock.monotonic());
		if (outbox !== undefined) {
			send(outbox);
		}
	}

	const mailbox = createSynchronousMailbox<Delivery, undefined>({
		context: undefined,
		handlers: {delivery: deliver},
		// A message from a newer or faulty peer must not stop this instance.
		onError() {
			metrics.count('peer-messages-failed');
		},
	});

	function send(outbox: Outbox): void {
		for (const {to, message} of outbox) {
			if (to === network.self) {
				mailbox.send({kind: 'delivery', from: network.self, message});
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
		register(kinds, handler) {
			for (const kind of kinds) {
				if (handlersByKind.has(kind)) {
					throw new TypeError(`messages of kind "${kind}" already have a handler`);
				}

				handlersByKind.set(kind, handler);
			}
		},
		send,
		receive(from, message) {
			if (isPeerMessage(message)) {
				mailbox.send({kind: 'delivery', from, message});
			} else {
				metrics.count('peer-messages-unknown');
			}
		},
		setPeers(addresses) {
			network.setPeers(addresses);
		},
		recordConfirmation(from) {
			network.recordConfirmation(from);
		},
	};
}

function isPeerMessage(message: unknown): message is PeerMessage {
	return (
		typeof message === 'object' &&
		message !== null &&
		typeof (message as {kind?: unknown}).kind === 'string'
	);
}
