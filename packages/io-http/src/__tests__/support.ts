/** Shared setup of the tests: a listener with a policy that a test controls, and raw sockets. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import {type AttemptOutcome, type Refusal} from '@shallotpond/kernel/attempt-outcome';
import {digestKey} from '@shallotpond/configuration/key-digest';
import {createLookupTables, type LookupTables} from '@shallotpond/configuration/lookup-tables';
import {documentSchema} from '@shallotpond/configuration/document-schema';
import {type Random} from '@shallotpond/kernel/random';
import {createManualClock} from '@shallotpond/testkit/manual-clock';
import {
	createStandInTarget,
	type StandInTarget,
	type StandInTargetOptions,
} from '@shallotpond/testkit/stand-in-target';
import {createCallerListener, type CallerListenerOptions} from '../caller-listener.js';
import {type RequestPolicy} from '../request-policy.js';

export const key = 'secret-key-of-reed';
export const otherKey = 'secret-key-of-moss';

/** Draws one of the items. */
export function pick<Item>(random: Random, items: readonly Item[]): Item {
	return items[Math.floor(random() * items.length)]!;
}

export type FixtureOptions = {
	readonly targets?: number;
	readonly routes?: ReadonlyArray<Record<string, unknown>>;
	readonly service?: Record<string, unknown>;
	readonly target?: StandInTargetOptions;
	readonly listener?: Partial<CallerListenerOptions>;
	readonly policy?: Partial<RequestPolicy>;
	/**
	 * Whether only the test advances the clock. Otherwise a timer of 1 ms advances the clock by 2 ms,
	 * so that a busy machine slows the timeouts down together with everything else.
	 */
	readonly hasManualClock?: boolean;
};

export async function createFixture(options: FixtureOptions = {}) {
	const targets: StandInTarget[] = [];
	for (let index = 0; index < (options.targets ?? 2); index++) {
		const target = createStandInTarget(options.target);
		await target.start();
		targets.push(target);
	}

	const source = {
		version: 1,
		fleet: {maxInstances: 1},
		failureDomains: {a: {}, b: {}},
		services: {
			roster: {
				slots: 4,
				...options.service,
				targets: targets.map(({address}, index) => ({
					id: `t${index}`,
					address,
					failureDomain: index % 2 === 0 ? 'a' : 'b',
				})),
			},
		},
		routes: options.routes ?? [
			{id: 'main', pathPrefix: '/', service: 'roster', timeout: 5000, keyQueryParameter: 'apikey'},
		],
		workspaces: {
			reed: {rate: 1, burst: 1, keyDigests: [digestKey(key)]},
			moss: {rate: 1, burst: 1, keyDigests: [digestKey(otherKey)]},
		},
	};
	const state = {
		tables: createLookupTables(documentSchema.parse(source)) as LookupTables | undefined,
		retries: 100,
		outcomes: [] as Array<AttemptOutcome & {readonly target: string}>,
		crashes: [] as string[],
		counts: new Map<string, number>(),
		internalErrors: [] as unknown[],
		openGrants: 0,
		admitted: 0,
	};

	function withdrawKey(): void {
		const document = structuredClone(source);
		document.version++;
		document.workspaces.reed.keyDigests = [];
		state.tables = createLookupTables(documentSchema.parse(document));
	}

	const refusal: Refusal = {
		kind: 'refused',
		code: 'no-target',
		status: 503,
		detail: 'No target is left',
		runState: 'not-run',
	};
	const policy: RequestPolicy = {
		tables: () => state.tables,
		isIsolated: () => false,
		async admit() {
			state.admitted++;
			return {kind: 'admitted'};
		},
		async acquireSlot(request) {
			const definitions = state.tables!.document.services.roster!.targets;
			const target = definitions.find(({id}) => !request.excludedTargets.includes(id));
			if (target === undefined) {
				return refusal;
			}

			state.openGrants++;
			return {
				kind: 'granted',
				target,
				signal: new AbortController().signal,
				keepsConnection: true,
				isInForce: () => true,
				release(outcome) {
					state.openGrants--;
					state.outcomes.push({...outcome, target: target.id});
				},
			};
		},
		claimIdempotencyKey: async () => ({
			kind: 'claimed',
			startBefore: Number.POSITIVE_INFINITY,
			settle: () => undefined,
		}),
		acquireAttemptPermit: async () => ({
			kind: 'allowed',
			async reportCrash(target) {
				state.crashes.push(target);
			},
			finish: () => undefined,
		}),
		countRequest: () => undefined,
		takeRetry: () => state.retries-- > 0,
		...options.policy,
	};
	const clock = createManualClock();
	const ticker =
		options.hasManualClock === true
			? undefined
			: setInterval(() => {
					clock.advance(2);
				}, 1);
	const listener = createCallerListener({
		policy,
		clock,
		address: '127.0.0.1',
		port: 0,
		counters: {
			increment(name, label = '') {
				const id = `${name} ${label}`.trim();
				state.counts.set(id, (state.counts.get(id) ?? 0) + 1);
			},
		},
		onInternalError: error => void state.internalErrors.push(error),
		...options.listener,
		limits: {keepAliveTimeout: 500, connectionCheckInterval: 50, ...options.listener?.limits},
	});
	async function stopTargets(): Promise<void> {
		for (const target of targets) {
			await target.stop();
		}
	}

	try {
		await listener.start();
	} catch (error) {
		clearInterval(ticker);
		await stopTargets();
		throw error;
	}

	return {
		targets,
		target: targets[0]!,
		state,
		listener,
		clock,
		policy,
		withdrawKey,
		received: () => targets.flatMap(target => [...target.requests]),
		async stop() {
			await stopTargets();
			await listener.stop();
			clearInterval(ticker);
		},
	};
}

export type Fixture = Awaited<ReturnType<typeof createFixture>>;

export type TestResponse = {
	readonly status: number;
	readonly headers: http.IncomingHttpHeaders;
	readonly body: string;
	/** Set if the connection broke before the response was complete; the rest is what arrived. */
	readonly error: string | undefined;
};

/** Sends one request on a new connection. Never rejects. */
export async function send(
	fixture: Fixture,
	options: http.RequestOptions & {
		readonly body?: string;
		/** Called with each piece of the body of the response. */
		readonly onData?: (text: string) => void;
	} = {},
): Promise<TestResponse> {
	return new Promise(resolve => {
		const {body, headers, onData, ...rest} = options;
		const request = http.request({
			host: '127.0.0.1',
			port: fixture.listener.port,
			agent: false,
			headers: headers ?? {'x-api-key': key},
			...rest,
		});
		request.on('error', error => {
			resolve({status: 0, headers: {}, body: '', error: error.message});
		});
		request.on('response', response => {
			const chunks: Uint8Array[] = [];
			const finish = (error?: string) => {
				const {statusCode: status = 0} = response;
				resolve({status, headers: response.headers, body: String(Buffer.concat(chunks)), error});
			};

			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
				onData?.(String(chunk));
			});
			response.on('end', () => {
				finish();
			});
			response.on('error', error => {
				finish(error.message);
			});
		});
		request.end(body);
	});
}

/** Writes bytes to a connection and resolves with everything received until it closed. */
export async function sendRaw(fixture: Fixture, bytes: string): Promise<string> {
	return new Promise(resolve => {
		let text = '';
		const socket = net.connect(fixture.listener.port, '127.0.0.1', () => {
			socket.write(bytes, 'latin1');
		});
		socket.setEncoding('latin1');
		socket.on('data', chunk => {
			text += String(chunk);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(text);
		});
	});
}

/** Opens a connection on which the test sends requests and reads all that is returned. */
export function connectCaller(fixture: Fixture) {
	const socket = net.connect(fixture.listener.port, '127.0.0.1');
	const caller = {
		socket,
		text: '',
		isClosed: false,
		write: (text: string) => socket.write(text),
	};
	socket.setEncoding('latin1');
	socket.on('data', chunk => {
		caller.text += String(chunk);
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		caller.isClosed = true;
	});
	return caller;
}

export type Caller = ReturnType<typeof connectCaller>;

/** Resolves when the condition holds. The timeout only ends a test that would hang. */
export async function waitUntil(condition: () => boolean): Promise<void> {
	for (let tries = 0; !condition(); tries++) {
		if (tries > 2000) {
			throw new Error('the condition did not become true within 10 s');
		}

		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

export function problemOf(response: TestResponse): {code: string; outcome: string} {
	const {code, outcome} = JSON.parse(response.body) as {code: string; outcome: string};
	return {code, outcome};
}
