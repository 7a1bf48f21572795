/**
 * Guards against a request that is refused for good although it would run: targets that crashed for
 * other reasons while they ran it made the fleet refuse it, and what is refused never gets the
 * response that would end the refusal.
 */
import {expect, test} from '@jest/globals';
import {documentSchema} from '@shallotpond/configuration/document-schema';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {type EventName} from '@shallotpond/observability/event-log';
import {createMetrics} from '@shallotpond/observability/metrics';
import {createFleetRoster} from '@shallotpond/policy-fleet/fleet-roster';
import {createCrashHistory} from '@shallotpond/policy-routing/crash-history';
import {createTrafficSplit} from '@shallotpond/policy-routing/traffic-split';
import {createManualClock} from '@shallotpond/testkit/manual-clock';
import {createGatewayRequestPolicy} from '../gateway-request-policy.js';
import {createFixedConfiguration} from './fixed-configuration.js';

const document = documentSchema.parse({
	version: 1,
	fleet: {maxInstances: 48},
	failureDomains: {},
	services: {},
	routes: [],
	workspaces: {},
});
// eslint-disable-next-line @typescript-eslint/consistent-type-assertions -- never called here
const unused = {} as never;

function createInstance(address: string, others: readonly string[]) {
	const clock = createManualClock({start: 0});
	const random = createSeededRandom(14);
	const roster = createFleetRoster({self: {address, failureDomain: 'a', startedAt: 0}});
	for (const other of others) {
		roster.recordMessageFrom({address: other, failureDomain: 'a', startedAt: 0}, 0);
	}

	const events: EventName[] = [];
	const crashes = createCrashHistory();
	const policy = createGatewayRequestPolicy({
		clock,
		random,
		configuration: createFixedConfiguration(document),
		routing: unused,
		rateLimiter: unused,
		retryBudget: unused,
		trafficSplit: createTrafficSplit(random),
		roster,
		fleetKnowledge: () => 'whole',
		crashes,
		hedging: undefined,
		log: {write: event => void events.push(event)},
		metrics: createMetrics(),
	});
	return {clock, crashes, policy, events};
}

test('a refused request is tried again by one instance at a time', async () => {
	const addresses = ['10.0.0.1', '10.0.0.2', '10.0.0.3'];
	const instances = addresses.map(address =>
		createInstance(
			address,
			addresses.filter(other => other !== address),
		),
	);
	const triedAt: number[] = [];
	for (const {crashes} of instances) {
		for (const target of ['t-1', 't-2', 't-3']) {
			crashes.record({fingerprint: 'popular', target}, 0);
		}
	}

	for (let now = 0; now < 40_000; now += 500) {
		for (const {clock, policy} of instances) {
			const permit = await policy.acquireAttemptPermit(() => 'popular', Number.POSITIVE_INFINITY);
			if (permit.kind === 'allowed') {
				triedAt.push(now);
			} else {
				expect(permit.code).toBe('crashes-targets');
			}

			clock.advance(500);
		}
	}

	// Trials that end without a crash and without a response are followed by others in later turns.
	expect(triedAt.length).toBeGreaterThan(1);
	expect(Math.min(...triedAt)).toBeGreaterThanOrEqual(20_000);
	expect(new Set(triedAt.map(now => Math.floor(now / 4000))).size).toBe(triedAt.length);
	expect(instances.flatMap(({events}) => events)).toContain('crashing-request-tried');
});

test('a response to a request that was tried again ends its refusal', async () => {
	const {clock, crashes, policy} = createInstance('10.0.0.1', []);
	for (const target of ['t-1', 't-2', 't-3']) {
		crashes.record({fingerprint: 'popular', target}, 0);
	}

	const acquire = async () =>
		policy.acquireAttemptPermit(() => 'popular', Number.POSITIVE_INFINITY);
	expect(await acquire()).toMatchObject({kind: 'refused'});
	clock.advance(20_000);
	const permit = await acquire();
	expect(await acquire()).toMatchObject({kind: 'refused'});
	if (permit.kind === 'allowed') {
		permit.finish(true);
	}

	expect(await acquire()).toMatchObject({kind: 'allowed'});
});
