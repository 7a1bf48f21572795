/**
 * Guards against an instance that misses a new configuration, returns to an older one, or counts as
 * ready with an outdated one, and against reads that overload the configuration service because too
 * many instances watch it, poll in step or retry without back-off.
 */
import {expect, test} from '@jest/globals';
import {createSeededRandom} from '@shallotpond/kernel/random';
import {
	createConfigurationDistribution,
	type DistributionInput,
	type DistributionPeer,
	type ConfigurationReadRequest,
} from '../configuration-distribution.js';

const members = Array.from({length: 12}, (_, index) => `10.0.0.${index}:7400#${index}`);
const domainOf = (instance: string) =>
	['north', 'south', 'west'][Number(instance.split('#')[1]) % 3];
const createInput = (peers: DistributionPeer[] = []): DistributionInput => ({
	members,
	failureDomainOf: domainOf,
	peers,
});
const createPeer = (from: string, version: number): DistributionPeer => ({
	from,
	version,
	digest: `d${version}`,
	confirmedAgo: 100,
});

function createDistribution(self: string, seed = 1) {
	return createConfigurationDistribution({
		self,
		failureDomain: domainOf(self)!,
		random: createSeededRandom(seed),
		startedAt: 0,
	});
}

const isWatcher = (self: string) =>
	createDistribution(self)
		.decide(createInput(), 0)
		.some(({kind}) => kind === 'watch');
const watcher = members.find(self => isWatcher(self))!;
const follower = members.find(self => !isWatcher(self))!;
const poll: ConfigurationReadRequest = {kind: 'poll'};

test('two instances per failure domain watch (guards against reads linear in the fleet)', () => {
	const domains = members.filter(self => isWatcher(self)).map(self => domainOf(self));
	for (const domain of ['north', 'south', 'west']) {
		expect(domains.filter(other => other === domain)).toHaveLength(2);
	}
});

test('an instance that is no longer a watcher stops its watch', () => {
	const distribution = createDistribution(watcher);
	distribution.decide(createInput(), 0);
	const added = Array.from({length: 60}, (_, index) => `10.0.1.${index}:7400#${index}`);
	const decisions = distribution.decide({...createInput(), members: [...members, ...added]}, 500);
	expect(decisions).toEqual([{kind: 'stop-watch'}]);
});

test.each([false, true])(
	'a poll that ends as a watch counts as a poll, so the instance becomes ready (failed: %s)',
	hasFailed => {
		const distribution = createDistribution(follower);
		const alone = {...createInput(), members: []};
		const watch: ConfigurationReadRequest = {kind: 'watch', after: 0};
		const document = {kind: 'document', version: 1, digest: 'd1'} as const;
		expect(distribution.decide(createInput(), 0)).toEqual([poll]);
		expect(distribution.decide(alone, 500)).toEqual([watch]);
		if (hasFailed) {
			distribution.complete(watch, {kind: 'failed'}, 900);
		}

		distribution.complete(watch, document, 1200);
		distribution.decide(alone, 20_000);
		expect(distribution.isReady()).toBe(true);
	},
);

test('only a higher version is adopted (guards against a configuration that reverts)', () => {
	const distribution = createDistribution(watcher);
	const watch: ConfigurationReadRequest = {kind: 'watch', after: 0};
	const offer = (version: number, now: number) =>
		distribution.complete(watch, {kind: 'document', version, digest: `d${version}`}, now);
	expect([offer(5, 0), offer(4, 1000), offer(5, 2000), offer(6, 3000)]).toEqual([
		true,
		false,
		false,
		true,
	]);
	expect(distribution.report(3500)).toEqual({version: 6, digest: 'd6', confirmedAgo: 500});
});

test('a stale service confirms nothing and is watched with back-off', () => {
	const distribution = createDistribution(watcher);
	const watch: ConfigurationReadRequest = {kind: 'watch', after: 0};
	distribution.complete(poll, {kind: 'document', version: 5, digest: 'd5'}, 0);
	distribution.decide(createInput(), 0);
	distribution.complete(watch, {kind: 'document', version: 4, digest: 'd4'}, 1000);
	expect(distribution.report(1000).confirmedAgo).toBe(1000);
	expect(distribution.decide(createInput(), 1100)).toEqual([]);
	expect(distribution.decide(createInput(), 1500)).toEqual([{kind: 'watch', after: 5}]);
});

test('a document is pulled once, from a peer with the highest version', () => {
	const distribution = createDistribution(follower);
	distribution.decide(createInput(), 0);
	distribution.complete(poll, {kind: 'document', version: 5, digest: 'd5'}, 0);
	const peers = [createPeer('a', 6), createPeer('b', 7), createPeer('c', 7), createPeer('d', 5)];
	const [decision, ...others] = distribution.decide(createInput(peers), 500);
	expect(others).toEqual([]);
	expect(decision).toMatchObject({kind: 'pull', version: 7});
	expect(distribution.decide(createInput(peers), 1000)).toEqual([]);
	distribution.complete(decision as ConfigurationReadRequest, {kind: 'failed'}, 1000);
	const [retry] = distribution.decide(createInput(peers), 1000);
	expect(retry).toMatchObject({kind: 'pull', version: 7});
	expect(retry).not.toEqual(decision);
	const document = {kind: 'document', version: 7, digest: 'd7'} as const;
	expect(distribution.complete(retry as ConfigurationReadRequest, document, 1100)).toBe(true);
	expect(distribution.decide(createInput(peers), 1200)).toEqual([]);
	expect(distribution.report(1200).confirmedAgo).toBe(100);
});

test('an instance is ready only with the highest version of service and peers', () => {
	const distribution = createDistribution(follower);
	expect(distribution.decide(createInput(), 0)).toEqual([poll]);
	distribution.complete(poll, {kind: 'document', version: 5, digest: 'd5'}, 100);
	distribution.decide(createInput([createPeer('a', 5)]), 1000);
	expect(distribution.isReady()).toBe(false);
	const [pull] = distribution.decide(createInput([createPeer('a', 6)]), 2500);
	expect(distribution.isReady()).toBe(false);
	distribution.complete(
		pull as ConfigurationReadRequest,
		{kind: 'document', version: 6, digest: 'd6'},
		2600,
	);
	distribution.decide(createInput([createPeer('a', 6)]), 2700);
	expect(distribution.isReady()).toBe(true);
});

test('without a version, polls are retried with growing back-off and jitter', () => {
	const times: number[] = [];
	const distribution = createDistribution(follower);
	for (let now = 0; now < 20_000; now += 50) {
		if (distribution.decide(createInput(), now).length > 0) {
			times.push(now);
			distribution.complete(poll, {kind: 'failed'}, now);
		}
	}

	const gaps = times.slice(1).map((time, index) => time - times[index]!);
	for (const [index, gap] of gaps.entries()) {
		const maxDelay = 500 * 2 ** index;
		expect(gap).toBeGreaterThanOrEqual(maxDelay / 2);
		expect(gap).toBeLessThanOrEqual(maxDelay + 50);
	}

	expect(gaps.length).toBeGreaterThanOrEqual(5);
});

test('the fallback poll comes once a minute with jitter (guards against polls in step)', () => {
	const next = Array.from({length: 10}, (_, seed) => {
		const distribution = createDistribution(follower, seed);
		distribution.decide(createInput(), 0);
		distribution.complete(poll, {kind: 'document', version: 1, digest: 'd1'}, 0);
		let now = 0;
		while (distribution.decide(createInput(), now).length === 0) {
			now += 500;
		}

		return now;
	});
	expect(Math.min(...next)).toBeGreaterThanOrEqual(45_000);
	expect(Math.max(...next)).toBeLessThanOrEqual(75_500);
	expect(new Set(next).size).toBeGreaterThan(5);
});
