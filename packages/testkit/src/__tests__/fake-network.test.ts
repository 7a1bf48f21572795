/**
 * Guards against a network that does not apply the faults that a test asks for, or applies others:
 * tests of the fleet would then pass without the faults, or fail for no fault of the fleet.
 */
import {expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {createFakeNetwork, type NetworkConditions} from '../fake-network.js';
import {createManualClock} from '../manual-clock.js';

function createPair(conditions: Partial<NetworkConditions> = {}) {
	const network = createFakeNetwork<number>({random: createSeededRandom(1), conditions});
	const received: number[] = [];
	const clock = createManualClock({speed: 1.01});
	network.attach('b', {clock, deliver: message => void received.push(message)});
	const sendAll = (count: number) => {
		for (let message = 0; message < count; message++) {
			network.send('a', 'b', message);
		}
	};

	return {network, received, clock, sendAll};
}

test('without faults each message arrives once, and the receiver’s clock runs at its own speed', () => {
	const {network, received, clock, sendAll} = createPair();
	sendAll(20);
	network.advance(10, 1);
	expect([...received].sort((a, b) => a - b)).toEqual(Array.from({length: 20}, (_, i) => i));
	expect(clock.monotonic()).toBeCloseTo(10.1);
});

test('faults lose, duplicate and reorder messages (otherwise tests that use them would prove nothing)', () => {
	const {network, received, sendAll} = createPair({loss: 0.3, duplication: 0.3, maxDelay: 50});
	sendAll(200);
	network.advance(60, 1);
	const distinct = new Set(received);
	expect(distinct.size).toBeLessThan(190);
	expect(received.length).toBeGreaterThan(distinct.size);
	expect(received).not.toEqual([...received].sort((a, b) => a - b));
});

test('a cut drops messages in one direction, and silence in both, until `healAll`', () => {
	const {network, received} = createPair();
	network.cut('b', 'a');
	network.send('a', 'b', 1);
	network.advance(5, 1);
	network.silence('a');
	network.send('a', 'b', 2);
	network.advance(5, 1);
	network.healAll();
	network.send('a', 'b', 3);
	network.advance(5, 1);
	expect(received).toEqual([1, 3]);
});

test('messages wait for a paused process and are lost when the process is replaced', () => {
	const {network, received, clock} = createPair();
	network.pause('b');
	network.send('a', 'b', 1);
	network.advance(100, 1);
	expect(received).toEqual([]);
	network.resume('b');
	expect(received).toEqual([1]);
	network.pause('b');
	network.send('a', 'b', 2);
	network.advance(100, 1);
	network.attach('b', {clock, deliver: message => void received.push(message)});
	network.resume('b');
	expect(received).toEqual([1]);
});
