/**
 * Guards against a check that misses a fault of a document before it is sent, that reports faults of
 * a sound one, or whose codes and places change for scripts.
 */
import {describe, expect, test} from '@jest/globals';
import {checkConfiguration} from '../configuration-check.js';
import {digestKey} from '../key-digest.js';
import {parseDocument} from '../parse-document.js';

type Fields = Readonly<Record<string, unknown>>;

const route = (id: string, fields: Fields = {}) => ({
	id,
	pathPrefix: `/${id}`,
	service: 'roster',
	...fields,
});
const target = (id: string, port: number, failureDomain: string) => ({
	id,
	address: `127.0.0.1:${port}`,
	failureDomain,
});
const service = (fields: Fields = {}) => ({
	slots: 4,
	targets: [target('r1', 1, 'north'), target('r2', 2, 'south')],
	...fields,
});
const workspace = (fields: Fields = {}) => ({
	rate: 100,
	burst: 5,
	keyDigests: [digestKey('k1')],
	...fields,
});
const createInput = (fields: Fields = {}) => ({
	version: 2,
	fleet: {maxInstances: 2},
	failureDomains: {north: {}, south: {}},
	services: {roster: service()},
	routes: [route('all')],
	workspaces: {beach: workspace()},
	...fields,
});
const withRoute = (fields: Fields) => ({routes: [route('all', fields)]});
const withService = (fields: Fields) => ({services: {roster: service(fields)}});
const split = (...weights: number[]) => ({
	split: weights.map(weight => ({service: 'roster', weight})),
});

/** Lists the findings as `<severity> <code> <place>`. */
function findingsOf(fields: Fields, inForce?: Fields): string[] {
	const {findings} = checkConfiguration({
		input: createInput(fields),
		inForce: inForce && parseDocument(createInput(inForce)),
	});
	return findings.map(({severity, code, place}) => `${severity} ${code} ${place}`);
}

const soundCases: Array<[string, Fields]> = [
	['the base document', {}],
	['limits at their bounds', withRoute({timeout: 50, answerTimeout: 50, stallTimeout: 50})],
	['a single attempt without repeatable methods', withRoute({attempts: 1})],
	['a cold rate with a cold time', withService({coldRate: 3, coldTime: 1000})],
	[
		'routes with equal prefixes that differ in host or method',
		{
			routes: [
				route('a', {pathPrefix: '/', methods: ['GET'], hosts: ['a.example']}),
				route('b', {pathPrefix: '/', methods: ['GET', 'POST'], hosts: ['a.example']}),
				route('c', {pathPrefix: '/', hosts: ['b.example', '[::1]']}),
				route('d', {pathPrefix: '/'}),
				route('e', {pathPrefix: '/x/'}),
			],
		},
	],
];

const faultyCases: Array<[string, Fields]> = [
	[
		'warning route-shadowed routes[2].pathPrefix',
		{
			routes: [
				route('a', {pathPrefix: '/', methods: ['GET']}),
				route('b', {pathPrefix: '/', methods: ['POST']}),
				route('c', {pathPrefix: '/', methods: ['POST', 'GET'], hosts: ['a.example']}),
			],
		},
	],
	['warning prefix-unmatchable routes[0].pathPrefix', withRoute({pathPrefix: '/a/../b'})],
	['warning host-unmatchable routes[0].hosts[0]', withRoute({hosts: ['A.example', 'b.example']})],
	['warning method-unmatchable routes[0].methods[1]', withRoute({methods: ['GET', 'TRACE']})],
	[
		'error split-service-missing routes[0].split[0].service',
		withRoute({split: [{service: 'none', weight: 1}]}),
	],
	['warning split-weight-zero routes[0].split[1].weight', withRoute(split(1, 0))],
	['warning split-weight-zero routes[0].split[0].weight', withRoute(split(0))],
	[
		'warning service-unused services.spare',
		{services: {roster: service(), spare: service({targets: [target('s1', 3, 'north')]})}},
	],
	[
		'warning address-used-twice services.roster.targets[1].address',
		withService({targets: [target('r1', 1, 'north'), target('r2', 1, 'south')]}),
	],
	[
		'warning failure-domain-unused failureDomains.west',
		{failureDomains: {north: {}, south: {}, west: {}}},
	],
	[
		'warning workspace-without-keys workspaces.beach.keyDigests',
		{workspaces: {beach: workspace({keyDigests: []})}},
	],
	[
		'warning floor-not-met services.roster.floor',
		{failureDomains: {north: {}, south: {state: 'out'}}},
	],
	[
		'warning burst-below-rate workspaces.beach.burst',
		{workspaces: {beach: workspace({rate: 101})}},
	],
	[
		'warning objective-not-below-timeout routes[0].latencyObjective',
		withRoute({timeout: 50, latencyObjective: 50}),
	],
	[
		'warning answer-timeout-below-timeout routes[0].answerTimeout',
		withRoute({timeout: 9000, answerTimeout: 8000}),
	],
	[
		'warning stall-timeout-above-answer-timeout routes[0].stallTimeout',
		withRoute({timeout: 50, answerTimeout: 60}),
	],
	[
		'warning attempts-without-repeat routes[0].attempts',
		withRoute({attempts: 1, isDownload: true}),
	],
	[
		'warning attempts-without-repeat routes[0].attempts',
		withRoute({attempts: 1, idempotentMethods: ['POST']}),
	],
	['warning cold-rate-without-time services.roster.coldRate', withService({coldRate: 3})],
	['warning cold-time-without-rate services.roster.coldTime', withService({coldTime: 9})],
	['error invalid-document services.roster.coldSlots', withService({coldSlots: 5})],
	[
		'error invalid-document services.roster.targets[1].id',
		withService({targets: [target('r1', 1, 'north'), target('r1', 2, 'south')]}),
	],
	[
		'error invalid-document workspaces.cove.keyDigests[0]',
		{workspaces: {beach: workspace(), cove: workspace()}},
	],
	['error invalid-document workspaces.beach.burst', {workspaces: {beach: workspace({burst: 0.5})}}],
];

describe('checkConfiguration', () => {
	test.each(soundCases)('%s has no findings', (_name, fields) => {
		expect(findingsOf(fields)).toEqual([]);
	});

	test.each(faultyCases)('%s', (finding, fields) => {
		expect(findingsOf(fields)).toEqual([finding]);
	});

	test('all invalid fields are reported at once', () => {
		const invalid = {version: 0, ...withRoute({timeout: 0, timeuot: 5})};
		expect(findingsOf(invalid)).toEqual([
			'error invalid-document version',
			'error invalid-document routes[0].timeout',
			'error invalid-document routes[0]',
		]);
	});

	test('with all failure domains out, the outage and the floor are reported', () => {
		const failureDomains = {north: {state: 'out'}, south: {state: 'out'}};
		expect(findingsOf({failureDomains})).toEqual([
			'error failure-domains-all-out failureDomains',
			'warning floor-not-met services.roster.floor',
		]);
	});

	test('a service without targets is reported together with the unused domains', () => {
		expect(findingsOf({failureDomains: {}, ...withService({targets: []})})).toEqual([
			'warning service-without-targets services.roster.targets',
		]);
	});

	test('messages name the values', () => {
		const input = createInput(withRoute({timeout: 50, latencyObjective: 70}));
		expect(checkConfiguration({input}).findings[0]!.message).toBe(
			'latencyObjective 70 is not below timeout 50, within which every response must begin',
		);
	});

	test('a version that is not above the one in force is an error', () => {
		const finding = 'error version-not-newer version';
		expect(findingsOf({}, {version: 2})).toEqual([finding]);
		expect(findingsOf({}, {version: 1})).toEqual([]);
	});

	test('a change that leaves fewer slots than the floor needs is reported', () => {
		const next = withService({targets: [target('r1', 1, 'north')]});
		expect(findingsOf({...next, failureDomains: {north: {}}}, {version: 1})).toEqual([
			'warning capacity-below-floor services.roster.floor',
		]);
		const outage = {failureDomains: {north: {}, south: {state: 'out'}}};
		expect(findingsOf(outage, {version: 1})).toEqual([
			'warning floor-not-met services.roster.floor',
		]);
	});

	test('each difference takes one line and shows no whole key digest', () => {
		const inForce = parseDocument(createInput({version: 1}));
		const input = createInput({
			...withRoute({timeout: 50}),
			workspaces: {beach: workspace({rate: 50, keyDigests: [digestKey('k2')]})},
		});
		const [before, after] = ['k1', 'k2'].map(key => digestKey(key).slice(0, 8));
		expect(checkConfiguration({input, inForce}).differences).toEqual([
			'version: 1 -> 2',
			'route all changed: timeout: 10000 -> 50',
			`workspace beach changed: rate: 100 -> 50; key ${before} removed; key ${after} added`,
		]);
	});
});
