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
import {readClockOffset} from '@shallotpond/kernel/clock';
import {createManualClock} from '@shallotpond/testkit/manual-clock';
import {createPublishedItemReceiver} from '../published-item-receiver.js';

const encode = (value: unknown) => Buffer.from(JSON.stringify(value)).toString('base64');

function createFixture() {
	const clock = createManualClock({start: 10_000});
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
});
