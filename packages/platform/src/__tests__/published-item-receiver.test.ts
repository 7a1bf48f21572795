/**
 * Guards against an instance that returns to an older configuration, sends work to a target or a
 * failure domain that must not get any, or loses targets that still run. This can come about when
 * items of the store arrive late, are invalid, or expire while the store is unavailable.
 */
import {Buffer} from 'node:buffer';
import {beforeEach, describe, expect, test} from '@jest/globals';
import {createCurrentConfiguration} from '@shallotpond/gateway/current-configuration';
import {noopEventLog} from '@shallotpond/observability/event-log';
import {createTargetDirectory} from '@shallotpond/policy-routing/target-directory';
import {readClockOffset, type Clock} from '@shallotpond/kernel/clock';
import {createManualClock, type ManualClock} from '@shallotpond/testkit/manual-clock';
import {createPublishedItemReceiver} from '../published-item-receiver.js';

const encode = (value: unknown) => Buffer.from(JSON.stringify(value)).toString('base64');

/** Timers of the clock fire `timerError` milliseconds early, as those of the runtime may. */
function createFixture(timerError = 0) {
	const manualClock = createManualClock({start: 10_000});
	const clock: Pick<ManualClock, 'advance'> & Clock = {
		...manualClock,
		after: (delay, callback) =>
			manualClock.after(delay > timerError ? delay - timerError : delay, callback),
	};
	const returned: string[] = [];
	const configuration = createCurrentConfiguration({
		clock,
		log: noopEventLog,
		revocationLimit: 5000,
		onDomainReturned: domain => void returned.push(domain),
	});
	const directory = createTargetDirectory();
	const receiver = createPublishedItemReceiver({
		clock,
		log: noopEventLog,
		failureDomains: ['north', 'south'],
		floor: 0.7,
		configuration,
		directory,
		onCallerIdleTimeout: () => undefined,
	});
	return {clock, returned, configuration, directory, receiver};
}

const configurationItem = (version: number) => ({
	key: 'op/config',
	revision: version,
	value: encode({version: `r${version}`, routes: [], services: [], tenants: []}),
});

const targetItem = (sequence: number, born = 100, state = 'ready') => ({
	key: 'servers/i-1',
	revision: sequence,
	value: encode({
		address: '10.0.0.1:80',
		info: {service: 'swaps', zone: 'north', slots: 4},
		status: {state, sequence, cold_remaining_ms: 0},
		born,
	}),
});

describe('published item receiver', () => {
	let fixture: ReturnType<typeof createFixture>;

	beforeEach(() => {
		fixture = createFixture();
	});

	const usable = () =>
		fixture.directory
			.usable('swaps', fixture.clock.monotonic())
			.map(({incarnation}) => incarnation);

	test('a configuration is never replaced by an older version, whatever the store returns', () => {
		fixture.receiver.takeSnapshot([configurationItem(12)], 0);
		fixture.receiver.takeChange(configurationItem(9));
		fixture.receiver.takeSnapshot([configurationItem(9)], 5000);
		expect(fixture.configuration.version).toBe(12);
	});

	test('an evacuated domain gets no work, and its return is reported, so that its targets can count as cold', () => {
		fixture.receiver.takeSnapshot([configurationItem(1)], 0);
		fixture.receiver.takeChange({key: 'op/evacuate/north', revision: 2, value: encode({})});
		expect(fixture.configuration.tables!.isDomainActive('north')).toBe(false);
		expect(fixture.configuration.tables!.isDomainActive('south')).toBe(true);
		fixture.receiver.takeChange({key: 'op/evacuate/north', revision: 3, value: undefined});
		expect(fixture.configuration.tables!.isDomainActive('north')).toBe(true);
		expect(fixture.returned).toEqual(['north']);
	});

	test('a late check-in from before a restart does not replace the restarted target', () => {
		fixture.receiver.takeSnapshot([targetItem(1, 200)], 0);
		fixture.receiver.takeChange(targetItem(9, 100, 'draining'));
		expect(usable()).toEqual(['i-1@200']);
	});

	test('an invalid entry of a target removes it, and an invalid configuration is ignored', () => {
		fixture.receiver.takeSnapshot([targetItem(1), configurationItem(1)], 0);
		fixture.receiver.takeChange({key: 'servers/i-1', revision: 5, value: encode({address: 5})});
		fixture.receiver.takeChange({key: 'op/config', revision: 6, value: encode('nonsense')});
		expect(usable()).toEqual([]);
		expect(fixture.configuration.version).toBe(1);
	});

	test('targets whose entries expired while the store was unavailable are kept until they had time to be listed again', () => {
		fixture.receiver.takeSnapshot([targetItem(1)], 0);
		fixture.receiver.takeSnapshot([], 9000);
		expect(usable()).toEqual(['i-1@100']);
		fixture.clock.advance(2000);
		expect(usable()).toEqual([]);
	});

	test('keys count as uncertain as soon as a withdrawal may have been missed', () => {
		fixture.receiver.takeSnapshot([configurationItem(1)], 0);
		expect(fixture.configuration.isUncertain()).toBe(true);
		fixture.configuration.confirm(fixture.clock.monotonic(), readClockOffset(fixture.clock));
		fixture.clock.advance(4000);
		expect(fixture.configuration.isUncertain()).toBe(false);
		fixture.clock.advance(400);
		expect(fixture.configuration.isUncertain()).toBe(true);
	});

	describe('after the store came back from an older copy', () => {
		const evacuation = {key: 'op/evacuate/north', revision: 2, value: encode({})};
		const isActive = () => fixture.configuration.tables!.isDomainActive('north');

		test('an older configuration does not replace the one in force, and its next version does', () => {
			fixture.receiver.takeSnapshot([configurationItem(12)], 0);
			fixture.receiver.takeSnapshot([configurationItem(9)], 0, true);
			expect(fixture.configuration.version).toBe(12);
			fixture.receiver.takeChange(configurationItem(14));
			expect(fixture.configuration.version).toBe(14);
		});

		test('an evacuation that is missing is held until the operator had time to write it again, and then ends', () => {
			fixture = createFixture(0.5);
			fixture.receiver.takeSnapshot([configurationItem(1), evacuation], 0);
			fixture.receiver.takeSnapshot([configurationItem(1)], 0, true);
			fixture.clock.advance(9900);
			expect(isActive()).toBe(false);
			fixture.clock.advance(200);
			expect(isActive()).toBe(true);
			expect(fixture.returned).toEqual(['north']);
		});

		test('an evacuation that is written again goes on, until it is taken back', () => {
			fixture.receiver.takeSnapshot([configurationItem(1), evacuation], 0);
			fixture.receiver.takeSnapshot([configurationItem(1)], 0, true);
			fixture.receiver.takeChange(evacuation);
			fixture.clock.advance(60_000);
			expect(isActive()).toBe(false);
			fixture.receiver.takeChange({...evacuation, value: undefined});
			expect(isActive()).toBe(true);
		});

		test('an evacuation that was taken back without a new era ends at once', () => {
			fixture.receiver.takeSnapshot([configurationItem(1), evacuation], 0);
			fixture.receiver.takeSnapshot([configurationItem(1)], 0);
			expect(isActive()).toBe(true);
		});

		test('a target whose entry is missing is kept until it had time to check in, without an outage', () => {
			fixture.receiver.takeSnapshot([targetItem(1)], 0);
			fixture.receiver.takeSnapshot([], 0, true);
			fixture.clock.advance(500);
			fixture.receiver.takeSnapshot([], 0);
			expect(usable()).toEqual(['i-1@100']);
			fixture.clock.advance(1500);
			expect(usable()).toEqual([]);
		});

		test.each([
			['is draining', targetItem(5, 100, 'draining')],
			['was removed', {key: 'servers/i-1', revision: 6, value: undefined}],
			['was started again', targetItem(1, 200, 'draining')],
		])('an older entry does not bring back a target that %s', (_state, change) => {
			fixture.receiver.takeSnapshot([targetItem(4)], 0);
			fixture.receiver.takeChange(change);
			fixture.receiver.takeSnapshot([targetItem(4)], 0, true);
			expect(usable()).toEqual([]);
			// Not even after another return, with a copy that lacks the target.
			fixture.receiver.takeSnapshot([], 0, true);
			fixture.receiver.takeChange(targetItem(4));
			expect(usable()).toEqual([]);
		});

		test('the entry of an earlier start does not hide the running one', () => {
			fixture.receiver.takeSnapshot([targetItem(4)], 0);
			fixture.receiver.takeChange(targetItem(1, 200));
			fixture.receiver.takeSnapshot([targetItem(4)], 0, true);
			expect(usable()).toEqual(['i-1@200']);
			fixture.receiver.takeSnapshot([targetItem(4)], 0);
			expect(usable()).toEqual(['i-1@200']);
		});

		test('a removed target that checks in again, and the next start of a draining one, get requests', () => {
			fixture.receiver.takeSnapshot([targetItem(4)], 0);
			fixture.receiver.takeChange({key: 'servers/i-1', revision: 6, value: undefined});
			fixture.receiver.takeSnapshot([targetItem(4)], 0, true);
			fixture.receiver.takeChange(targetItem(5));
			expect(usable()).toEqual(['i-1@100']);
			fixture.receiver.takeChange(targetItem(6, 100, 'draining'));
			fixture.receiver.takeChange(targetItem(1, 200));
			expect(usable()).toEqual(['i-1@200']);
		});

		test('an instance that starts on the older copy takes over what another one knows', () => {
			const {receiver: other, clock} = createFixture();
			other.takeSnapshot([configurationItem(12), evacuation, targetItem(4)], 0);
			other.takeChange({key: 'servers/i-1', revision: 6, value: undefined});
			// The other instance has not seen the new era yet.
			const early = other.retainedItems({version: 9, isOfNewerEra: true});
			other.takeSnapshot([configurationItem(9), targetItem(4)], 0, true);
			clock.advance(4000);
			const late = other.retainedItems({version: 9, isOfNewerEra: false});
			for (const [retained, hold] of [[early, 10_000] as const, [late, 6000] as const]) {
				fixture = createFixture();
				fixture.receiver.takeSnapshot([configurationItem(9), targetItem(4)], 0);
				fixture.receiver.takeRetainedItems(retained);
				expect(fixture.configuration.version).toBe(12);
				expect(usable()).toEqual([]);
				fixture.clock.advance(hold - 1);
				expect(isActive()).toBe(false);
				fixture.clock.advance(1);
				expect(isActive()).toBe(true);
			}
		});

		test('what the store lists is not retained as well', () => {
			fixture.receiver.takeSnapshot([configurationItem(12), evacuation, targetItem(4)], 0);
			expect(fixture.receiver.retainedItems({version: 0, isOfNewerEra: false})).toEqual([]);
		});
	});
});
