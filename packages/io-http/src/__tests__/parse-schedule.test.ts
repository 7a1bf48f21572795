/**
 * Guards against a connection whose bytes take so long to parse that the process answers nobody
 * else, and against delays of connections that are quickly parsed.
 */
import {beforeEach, expect, test} from '@jest/globals';
import {createManualClock, type ManualClock} from '@shallotpond/testkit/manual-clock';
import {createParseSchedule, type ParseSchedule} from '../parse-schedule.js';

let clock: ManualClock;
let schedule: ParseSchedule;
let pending: Array<() => void>;
/** The connections that were parsed, in order. */
let parsed: string[];
let delays: number;

function endTurn(): void {
	for (const callback of pending.splice(0)) {
		callback();
	}
}

/** A connection with endless input, each part of which takes `duration` milliseconds. */
function open(name: string, duration: number) {
	const parse = () => {
		while (turn.request()) {
			parsed.push(name);
			turn.record(duration);
		}
	};

	const turn = schedule.open(parse);
	return {parse, close: turn.close};
}

beforeEach(() => {
	clock = createManualClock({start: 1000});
	pending = [];
	parsed = [];
	delays = 0;
	schedule = createParseSchedule({
		clock,
		afterPoll(callback) {
			pending.push(callback);
		},
		onDelay() {
			delays++;
		},
	});
});

test('parts that are quickly parsed are never delayed', () => {
	const turn = schedule.open(() => undefined);
	for (let part = 0; part < 1000; part++) {
		expect(turn.request()).toBe(true);
		turn.record(0.05);
		clock.advance(1);
		endTurn();
	}

	expect(delays).toBe(0);
});

test('in each turn, all connections together are parsed for a limited time', () => {
	const connections = Array.from({length: 400}, (_, index) => open(`costly-${index}`, 1));
	for (const {parse} of connections) {
		parse();
	}

	expect(parsed).toHaveLength(10);
	for (let turn = 0; turn < 300; turn++) {
		const before = parsed.length;
		endTurn();
		// Those without an allowance get less, because all others wait for them in each turn.
		const isAllowanceUsedUp = before >= 800;
		expect(parsed.length - before).toBe(isAllowanceUsedUp ? 3 : 10);
	}

	expect(parsed.length).toBeGreaterThan(800);
});

test('those that used up their allowance take turns, each for one part', () => {
	const names = ['a', 'b', 'c'];
	const connections = names.map(name => open(name, 4));
	for (let turn = 0; turn < 6; turn++) {
		for (const {parse} of connections) {
			parse();
		}

		endTurn();
	}

	parsed = [];
	for (let turn = 0; turn < 6; turn++) {
		endTurn();
	}

	expect(parsed).toEqual(['a', 'b', 'c', 'a', 'b', 'c']);
});

test('a connection with an allowance goes before those without', () => {
	const costly = Array.from({length: 50}, (_, index) => open(`costly-${index}`, 5));
	for (let turn = 0; turn < 100; turn++) {
		for (const {parse} of costly) {
			parse();
		}

		endTurn();
	}

	parsed = [];
	// The sockets that are ready before it have used up the time of this turn.
	costly[0]!.parse();
	const greedy = open('new', 6);
	greedy.parse();
	const ordinary = open('ordinary', 6);
	ordinary.parse();
	endTurn();
	expect(parsed.slice(0, 2)).toEqual(['new', 'ordinary']);
});

test('the allowance returns with time', () => {
	const turn = schedule.open(() => undefined);
	turn.record(30);
	endTurn();
	expect(turn.request()).toBe(false);
	expect(delays).toBe(1);
	endTurn();
	clock.advance(500);
	expect(turn.request()).toBe(true);
});

test('after a pause of the process within a part, the allowance returns soon', () => {
	const turn = schedule.open(() => undefined);
	turn.record(60_000);
	endTurn();
	clock.advance(1100);
	expect(turn.request()).toBe(true);
});

test('a closed connection is parsed no more', () => {
	const connection = open('a', 30);
	connection.parse();
	connection.close();
	endTurn();
	endTurn();
	expect(parsed).toEqual(['a']);
});
