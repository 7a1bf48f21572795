/**
 * A seeded network between instances in one process. It owns the true time: each step delivers the
 * messages that are due and advances the clock of every attached instance, which may be paused or
 * run fast. Messages are passed by reference and must not be changed by receivers.
 */
import {type Random} from '@shallotpond/kernel/random';
import {type SteerableClock} from './steerable-clock.js';

export type NetworkConditions = {
	/** Milliseconds; each message gets a random delay in this range, so messages may overtake. */
	readonly minimumDelay: number;
	readonly maximumDelay: number;
	/** Probability, 0 to 1, that a message is lost. */
	readonly loss: number;
	/** Probability, 0 to 1, that a message arrives twice, the second time with its own delay. */
	readonly duplication: number;
	/** Probability, 0 to 1, of an additional delay of up to `longDelay` milliseconds. */
	readonly longDelayProbability: number;
	readonly longDelay: number;
};

export type Attachment<Message> = {
	readonly clock: SteerableClock;
	readonly deliver: (message: Message) => void;
};

export type FakeNetwork<Message> = {
	/** Milliseconds of true time since the network was created. */
	now(): number;
	/** Puts a process on an address; it replaces the one that was there. */
	attach(address: string, attachment: Attachment<Message>): void;
	/** Removes the process; what is addressed to it is lost unless another one is attached. */
	detach(address: string): void;
	send(from: string, to: string, message: Message): void;
	/** Changes the conditions of messages that are sent from now on. */
	setConditions(conditions: Partial<NetworkConditions>): void;
	/** Loses messages in one direction. */
	cut(from: string, to: string): void;
	heal(from: string, to: string): void;
	/** Loses every message to and from the address until `healAll`. */
	silence(address: string): void;
	/** Removes all cuts and silences. */
	healAll(): void;
	/** While paused, arriving messages wait, as in the buffers of a socket. */
	pause(address: string): void;
	/** Runs overdue timers and then delivers waiting messages, or the reverse, at random. */
	resume(address: string): void;
	/** Advances true time in steps of `step` milliseconds and calls `onStep` after each. */
	advance(milliseconds: number, step: number, onStep?: () => void): void;
};

export type FakeNetworkOptions = {
	readonly random: Random;
	readonly conditions?: Partial<NetworkConditions>;
};

type InFlight<Message> = {
	readonly due: number;
	readonly from: string;
	readonly to: string;
	readonly message: Message;
};

const calm: NetworkConditions = {
	minimumDelay: 1,
	maximumDelay: 3,
	loss: 0,
	duplication: 0,
	longDelayProbability: 0,
	longDelay: 0,
};

export function createFakeNetwork<Message>(options: FakeNetworkOptions): FakeNetwork<Message> {
	const {random} = options;
	const attachments = new Map<string, Attachment<Message>>();
	const waiting = new Map<string, Message[]>();
	const cuts = new Set<string>();
	const silenced = new Set<string>();
	let conditions: NetworkConditions = {...calm, ...options.conditions};
	let inFlight: Array<InFlight<Message>> = [];
	let now = 0;

	function isCut(from: string, to: string): boolean {
		return silenced.has(from) || silenced.has(to) || cuts.has(`${from}>${to}`);
	}

	function drawDelay(): number {
		const {minimumDelay, maximumDelay, longDelayProbability, longDelay} = conditions;
		const extra = random() < longDelayProbability ? random() * longDelay : 0;
		return minimumDelay + random() * (maximumDelay - minimumDelay) + extra;
	}

	function deliver(to: string, message: Message): void {
		const attachment = attachments.get(to);
		if (attachment?.clock.isPaused) {
			waiting.set(to, [...(waiting.get(to) ?? []), message]);
		} else {
			attachment?.deliver(message);
		}
	}

	/** Messages that the receivers send in turn are delivered in a later step. */
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
		const messages = waiting.get(address) ?? [];
		waiting.delete(address);
		for (const message of messages) {
			deliver(address, message);
		}
	}

	return {
		now: () => now,
		attach(address, attachment) {
			waiting.delete(address);
			attachments.set(address, attachment);
		},
		detach(address) {
			waiting.delete(address);
			attachments.delete(address);
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
			silenced.add(address);
		},
		healAll() {
			cuts.clear();
			silenced.clear();
		},
		pause(address) {
			attachments.get(address)?.clock.pause();
		},
		resume(address) {
			const clock = attachments.get(address)?.clock;
			if (random() < 1 / 2) {
				clock?.resume();
				deliverWaiting(address);
				return;
			}

			// Messages are handled at the late time, before any timer has run.
			const messages = waiting.get(address) ?? [];
			waiting.delete(address);
			for (const message of messages) {
				attachments.get(address)?.deliver(message);
			}

			clock?.resume();
		},
		advance(milliseconds, step, onStep) {
			const end = now + milliseconds;
			while (now < end) {
				const duration = Math.min(step, end - now);
				now += duration;
				for (const {clock} of attachments.values()) {
					clock.advance(duration);
				}

				deliverDue();
				onStep?.();
			}
		},
	};
}
