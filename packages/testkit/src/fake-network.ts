/**
 * Simulated network between instances in one process, which loses, duplicates and delays messages
 * reproducibly with a seeded random number generator. The network keeps the reference time: each
 * step advances the clock of every attached instance, which may be paused or run fast, and delivers
 * the messages that are due. Messages are passed by reference, so receivers must not modify them.
 */
import {type Random} from '@shallotpond/kernel/random';
import {type ManualClock} from './manual-clock.js';

export type NetworkConditions = {
	/** Range of the random delay of a message, milliseconds. Messages may overtake each other. */
	readonly minDelay: number;
	readonly maxDelay: number;
	/** Probability, 0 to 1, that a copy of a message is lost. */
	readonly loss: number;
	/**
	 * Probability, 0 to 1, that a message is sent twice. The delay and loss of each copy are drawn
	 * separately.
	 */
	readonly duplication: number;
	/** Probability, 0 to 1, of an additional delay of up to `longDelay` milliseconds. */
	readonly longDelayProbability: number;
	readonly longDelay: number;
};

export type NetworkEndpoint<Message> = {
	readonly clock: ManualClock;
	/** Called with each message that arrives. */
	readonly deliver: (message: Message) => void;
};

export type FakeNetwork<Message> = {
	/** Returns the reference time, milliseconds since the creation of the network. */
	now(): number;
	/** Attaches a process to an address in place of the process that was attached before. */
	attach(address: string, endpoint: NetworkEndpoint<Message>): void;
	/** Detaches a process. Messages to its address are lost unless another process is attached. */
	detach(address: string): void;
	send(from: string, to: string, message: Message): void;
	/** Changes the given conditions for messages that are sent from now on. */
	setConditions(conditions: Partial<NetworkConditions>): void;
	/** Drops messages in one direction, including those in flight, until `heal` or `healAll`. */
	cut(from: string, to: string): void;
	/** Ends the effect of `cut` for this direction. */
	heal(from: string, to: string): void;
	/** Drops all messages to and from the address until `healAll`. */
	silence(address: string): void;
	/** Ends the effect of every `cut` and `silence`. */
	healAll(): void;
	/** Pauses the clock of a process. Messages that arrive meanwhile wait, as in a socket buffer. */
	pause(address: string): void;
	/**
	 * Resumes a process: runs its overdue timers and delivers the waiting messages. Which of the two
	 * happens first is random.
	 */
	resume(address: string): void;
	/** Advances the reference time in steps of `step` milliseconds and calls `onStep` after each. */
	advance(milliseconds: number, step: number, onStep?: () => void): void;
};

export type FakeNetworkOptions = {
	readonly random: Random;
	/** By default delays of 1 to 3 ms, and no loss, duplication or long delays. */
	readonly conditions?: Partial<NetworkConditions>;
};

type InFlightMessage<Message> = {
	readonly due: number;
	readonly from: string;
	readonly to: string;
	readonly message: Message;
};

const defaultConditions: NetworkConditions = {
	minDelay: 1,
	maxDelay: 3,
	loss: 0,
	duplication: 0,
	longDelayProbability: 0,
	longDelay: 0,
};

export function createFakeNetwork<Message>(options: FakeNetworkOptions): FakeNetwork<Message> {
	const {random} = options;
	const endpoints = new Map<string, NetworkEndpoint<Message>>();
	const waitingMessages = new Map<string, Message[]>();
	const cuts = new Set<string>();
	const silencedAddresses = new Set<string>();
	let conditions: NetworkConditions = {...defaultConditions, ...options.conditions};
	let inFlight: Array<InFlightMessage<Message>> = [];
	let now = 0;

	function isCut(from: string, to: string): boolean {
		return silencedAddresses.has(from) || silencedAddresses.has(to) || cuts.has(`${from}>${to}`);
	}

	function drawDelay(): number {
		const {minDelay, maxDelay, longDelayProbability, longDelay} = conditions;
		const extra = random() < longDelayProbability ? random() * longDelay : 0;
		return minDelay + random() * (maxDelay - minDelay) + extra;
	}

	function deliver(to: string, message: Message): void {
		const endpoint = endpoints.get(to);
		if (endpoint?.clock.isPaused) {
			waitingMessages.set(to, [...(waitingMessages.get(to) ?? []), message]);
		} else {
			endpoint?.deliver(message);
		}
	}

	/** Delivers the messages that are due. Messages sent by their receivers wait for a later step. */
	function deliverDue(): void {
		const due = inFlight.filter(item => item.due <= now);
		inFlight = inFlight.filter(item => item.due > now);
		for (const {from, to, message} of due.sort((left, right) => left.due - right.due)) {
			if (!isCut(from, to)) {
				deliver(to, message);
			}
		}
	}

	function deliverWaiting(address: string): void {
		const messages = waitingMessages.get(address) ?? [];
		waitingMessages.delete(address);
		for (const message of messages) {
			deliver(address, message);
		}
	}

	return {
		now: () => now,
		attach(address, endpoint) {
			waitingMessages.delete(address);
			endpoints.set(address, endpoint);
		},
		detach(address) {
			waitingMessages.delete(address);
			endpoints.delete(address);
		},
		send(from, to, message) {
			const copies = random() < conditions.duplication ? 2 : 1;
			for (let copy = 0; copy < copies; copy++) {
				if (!isCut(from, to) && random() >= conditions.loss) {
					inFlight.push({due: now + drawDelay(), from, to, message});
				}
			}
		},
		setConditions(changes) {
			conditions = {...conditions, ...changes};
		},
		cut(from, to) {
			cuts.add(`${from}>${to}`);
		},
		heal(from, to) {
			cuts.delete(`${from}>${to}`);
		},
		silence(address) {
			silencedAddresses.add(address);
		},
		healAll() {
			cuts.clear();
			silencedAddresses.clear();
		},
		pause(address) {
			endpoints.get(address)?.clock.pause();
		},
		resume(address) {
			const clock = endpoints.get(address)?.clock;
			if (random() < 1 / 2) {
				clock?.resume();
				deliverWaiting(address);
				return;
			}

			// Receivers handle the messages at the time of resumption, before any overdue timer runs.
			const messages = waitingMessages.get(address) ?? [];
			waitingMessages.delete(address);
			for (const message of messages) {
				endpoints.get(address)?.deliver(message);
			}

			clock?.resume();
		},
		advance(milliseconds, step, onStep) {
			const end = now + milliseconds;
			while (now < end) {
				const duration = Math.min(step, end - now);
				now += duration;
				for (const {clock} of endpoints.values()) {
					clock.advance(duration);
				}

				deliverDue();
				onStep?.();
			}
		},
	};
}
