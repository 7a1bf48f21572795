/**
 * Guards against an instance that counts its configuration as the newest although the machine was
 * suspended since: a key that was withdrawn meanwhile would still be accepted. Steps of the wall
 * clock must not have the same effect for long.
 */
import {beforeEach, expect, test} from '@jest/globals';
import {readClockOffset, type Clock} from '@shallotpond/kernel/clock';
import {noopEventLog} from '@shallotpond/observability/event-log';
import {createManualClock, type ManualClock} from '@shallotpond/testkit/manual-clock';
import {createCurrentConfiguration, type CurrentConfiguration} from '../current-configuration.js';

let manualClock: ManualClock;
let clock: Clock;
let wallStep: number;
let configuration: CurrentConfiguration;

beforeEach(() => {
	manualClock = createManualClock({start: 1000});
	wallStep = 0;
	clock = {
		...manualClock,
		wall: () => new Date(manualClock.wall().getTime() + wallStep),
	};
	configuration = createCurrentConfiguration({
		clock,
		log: noopEventLog,
		revocationLimit: 5000,
		onDomainReturned: () => undefined,
	});
});

test('a suspension after the confirmation counts towards its age', () => {
	configuration.confirm(1000, readClockOffset(clock));
	expect(configuration.isUncertain()).toBe(false);
	wallStep = 6000;
	expect(configuration.isUncertain()).toBe(true);
});

test('so does a suspension between the request for the confirmation and its response', () => {
	const offset = readClockOffset(clock);
	wallStep = 6000;
	configuration.confirm(1000, offset);
	expect(configuration.confirmedAgo()).toBe(6000);
	expect(configuration.isUncertain()).toBe(true);
});

test.each([
	[6000, true],
	[-6000, false],
])(
	'a step of the wall clock by %i ms counts only until the next confirmation',
	(step, isUncertain) => {
		configuration.confirm(1000, readClockOffset(clock));
		wallStep = step;
		expect(configuration.isUncertain()).toBe(isUncertain);
		manualClock.advance(100);
		configuration.confirm(1100, readClockOffset(clock));
		expect(configuration.isUncertain()).toBe(false);
		wallStep = 0;
		manualClock.advance(100);
		configuration.confirm(1200, readClockOffset(clock));
		expect(configuration.isUncertain()).toBe(false);
	},
);
