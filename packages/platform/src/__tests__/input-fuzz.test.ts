/**
 * Guards against input from outside that ends the process or hides valid input beside it: entries
 * of the store that another writer left, configurations, settings files and responses of targets.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import process from 'node:process';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {createCurrentConfiguration} from '@shallotpond/gateway/current-configuration';
import {PlatformError} from '@shallotpond/io-platform/platform-error';
import {type EventName} from '@shallotpond/observability/event-log';
import {createTargetDirectory} from '@shallotpond/policy-routing/target-directory';
import {createManualClock} from '@shallotpond/testkit/manual-clock';
import {platformDialect} from '../platform-dialect.js';
import {decodeSettings} from '../platform-settings.js';
import {createPublishedItemReceiver} from '../published-item-receiver.js';

const parameters = {
	numRuns: Number(process.env.SHALLOTPOND_TEST_RUNS ?? 1000),
	seed: Number(process.env.SHALLOTPOND_TEST_SEED ?? 20_261_205),
};
const encode = (value: unknown) => Buffer.from(JSON.stringify(value)).toString('base64');

const target = {
	address: '10.128.0.9:8080',
	info: {service: 'orders', version: 'v1', zone: 'north', slots: 4},
	status: {state: 'ready', sequence: 4, cold_remaining_ms: 0},
	born: 1_764_850_000_000,
};
const configuration = {
	version: 'r12',
	routes: [
		{
			name: 'r',
			host: 'a.example',
			prefix: '/b/',
			kind: 'safe',
			timeout_ms: 2500,
			service: 'orders',
		},
	],
	services: [{name: 'orders', max_connections: 330, cold_s: 3, cold_per_s: 10}],
	limits: {idle_timeout_ms: 15_000},
	tenants: [{name: 'reed', api_keys: ['k1'], rate_per_s: 37, burst: 40}],
};
const settings = {
	self: {node: 'front-1', ip: '10.0.0.1', zone: 'north'},
	network: {
		listen: {front: '10.0.0.1:80', ready: '10.0.0.1:81'},
		internal_ports: [7100, 7115],
		seeds: ['10.0.0.2:80'],
		zones: {north: 'r'},
	},
	platform: {platform: {address: '10.0.0.3:80'}},
	terms: {
		bounds: {
			strict_revoke: true,
			revoke_ms: 5000,
			grace_s: 6,
			retry_budget_ratio: 0.2,
			budget_extra: 60,
			budget_window_s: 10,
			quota_window_s: 5,
			quota_excess: 0.25,
			quota_slack: 20,
		},
	},
};

/** Values that a writer in another language, or a faulty one, may leave in a field. */
const oddValue = fc.oneof(
	fc.anything({maxDepth: 2}),
	fc.constantFrom(2 ** 53, 1e300, -1, 0.5, '', '__proto__', 'constructor', null, true, [], {}),
	fc.constantFrom(
		'10.0.0.1:65536',
		'10.0.0.1:0',
		'10.0.0.1:-1',
		'999.0.0.1:80',
		'[::1]:80',
		'a:80',
	),
);

type Path = readonly string[];

function pathsOf(value: unknown, path: Path = []): Path[] {
	if (typeof value !== 'object' || value === null) {
		return [path];
	}

	const inner = Object.entries(value).flatMap(([key, item]) => pathsOf(item, [...path, key]));
	return path.length === 0 ? inner : [path, ...inner];
}

/** A copy of `value` in which the field at `path` has another value. */
function replaceAt(value: unknown, [key, ...rest]: Path, replacement: unknown): unknown {
	if (key === undefined) {
		return replacement;
	}

	const copy = structuredClone(value) as Record<string, unknown>;
	copy[key] = replaceAt(copy[key], rest, replacement);
	return copy;
}

/** The valid value with one or two odd fields, as JSON; or bytes that are not even that. */
function oddInput(valid: unknown) {
	const change = fc.tuple(fc.constantFrom(...pathsOf(valid)), oddValue);
	const oddFields = fc.array(change, {minLength: 1, maxLength: 2}).map(changes => {
		let value = valid;
		for (const [path, replacement] of changes) {
			try {
				value = replaceAt(value, path, replacement);
			} catch {
				// The first change has removed the place of the second one.
			}
		}

		try {
			return JSON.stringify(value) ?? '';
		} catch {
			return '{}';
		}
	});
	const nested = fc
		.tuple(fc.constantFrom('[', '{"a":', '{"info":'), fc.integer({min: 1, max: 20_000}))
		.map(([text, depth]) => text.repeat(depth));
	return fc.oneof(oddFields, fc.json(), nested, fc.string({unit: 'binary'}));
}

function createReceiver() {
	const clock = createManualClock();
	const events: EventName[] = [];
	const log = {write: (event: EventName) => void events.push(event)};
	const directory = createTargetDirectory();
	const current = createCurrentConfiguration({
		clock,
		log,
		revocationLimit: 5000,
		onDomainReturned: () => undefined,
	});
	const receiver = createPublishedItemReceiver({
		clock,
		log,
		failureDomains: ['north', 'south'],
		floor: 0.7,
		configuration: current,
		directory,
		onCallerIdleTimeout: () => undefined,
	});
	return {receiver, directory, current, events};
}

test('an odd entry of a target hides no other target, and is either usable or logged', () => {
	const key = fc.oneof(
		fc.constantFrom(
			'servers/odd',
			'servers/',
			'servers/__proto__',
			'servers/a b',
			'servers/\u{1F600}',
		),
		fc.string({unit: 'binary'}).map(text => `servers/odd${text}`),
	);
	const input = fc.tuple(key, oddInput(target), fc.boolean());
	fc.assert(
		fc.property(input, ([oddKey, text, isSnapshot]) => {
			const {receiver, directory, events} = createReceiver();
			const odd = {key: oddKey, value: Buffer.from(text).toString('base64'), revision: 2};
			const good = ['a', 'b'].map(id => ({
				key: `servers/${id}`,
				value: encode({...target, address: `10.128.0.1:${id === 'a' ? 1 : 2}`}),
				revision: 1,
			}));
			if (isSnapshot) {
				receiver.takeSnapshot([good[0]!, odd, good[1]!], 0);
			} else {
				receiver.takeSnapshot(good, 0);
				receiver.takeChange(odd);
			}

			const usable = directory.usable('orders', 0).map(({definition}) => definition.id);
			expect(usable).toEqual(expect.arrayContaining(['a', 'b']));
			const isRefused = events.includes('store-entry-refused');
			expect(directory.size).toBe(isRefused ? 2 : 3);
		}),
		parameters,
	);
});

test('an odd entry that replaces the entry of a target takes out that target only', () => {
	fc.assert(
		fc.property(oddInput(target), text => {
			const {receiver, directory, events} = createReceiver();
			const items = ['a', 'b'].map(id => ({
				key: `servers/${id}`,
				value: encode(target),
				revision: 1,
			}));
			receiver.takeSnapshot(items, 0);
			receiver.takeChange({
				key: 'servers/a',
				value: Buffer.from(text).toString('base64'),
				revision: 2,
			});
			const isRefused = events.includes('store-entry-refused');
			const {incarnation: other} = directory.find('b')!;
			expect(other).toBe(`b@${target.born}`);
			expect(directory.size).toBe(isRefused ? 1 : 2);
		}),
		parameters,
	);
});

test('an odd configuration is refused or put in force, and a later valid one is put in force', () => {
	fc.assert(
		fc.property(oddInput(configuration), text => {
			const {receiver, current} = createReceiver();
			const value = Buffer.from(text).toString('base64');
			receiver.takeSnapshot([{key: 'op/config', value, revision: 1}], 0);
			const next = encode({...configuration, version: 'r999999999999999'});
			receiver.takeChange({key: 'op/config', value: next, revision: 2});
			expect(current.version).toBe(999_999_999_999_999);
		}),
		parameters,
	);
});

test('an odd settings file is refused with one error of the platform, or read', () => {
	fc.assert(
		fc.property(oddInput(settings), text => {
			try {
				expect(decodeSettings(text).instance).toEqual(expect.any(String));
			} catch (error) {
				expect(error).toBeInstanceOf(PlatformError);
			}
		}),
		parameters,
	);
});

test('odd headers of a response neither throw nor give an unbounded or negative pause', () => {
	const headers = fc.dictionary(
		fc.constantFrom(
			'retry-after',
			'server-leaving',
			'x-shallotpond-not-executed',
			'x-shallotpond-response-seal',
			'content-encoding',
		),
		fc.oneof(
			fc.string(),
			fc.double().map(String),
			fc.bigInt().map(String),
			fc.constantFrom('0x10', '1e9', 'Infinity', '-0', '1.', '.1', 'Wed, 21 Oct 2026 07:28:00 GMT'),
		),
	);
	fc.assert(
		fc.property(fc.constantFrom(200, 408, 421, 429, 500, 503), headers, (statusCode, values) => {
			const response = {statusCode, headers: values} as unknown as IncomingMessage;
			platformDialect.isGenuine?.(response);
			const pauses = [
				platformDialect.readNotice?.(response)?.holdOff,
				platformDialect.readShed(response)?.retryAfter,
			];
			for (const pause of pauses) {
				expect(pause === undefined || (pause > 0 && pause < 1e13)).toBe(true);
			}
		}),
		parameters,
	);
});
