/**
 * Checks for limits of a valid document that contradict each other, so that one of them has no
 * effect or cannot be met.
 */
import {findFloorWarnings} from './capacity-change.js';
import {type DocumentCheck, type Observation} from './document-check.js';
import {
	type ConfigurationDocument,
	type RouteDefinition,
	type ServiceDefinition,
} from './document-schema.js';

/**
 * Milliseconds of demand for which an instance asks tokens at once (`demandPerAsk` of the rate
 * requester). Granted tokens count against the burst, so a smaller one loses refills: in trials with
 * 16 instances 5 ms apart and twice the rate of 100, a burst of 20, 30 and 50 ms gave 39%, 78% and
 * 93% of the rate, a larger one no more.
 */
const askMs = 50;
const millisecondsPerSecond = 1000;
/** Default of `idempotentMethods`; any other method in it was added to have it repeated. */
const defaultIdempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

/** Returns a message if the limits contradict each other. */
type Contradiction<Entry> = (entry: Entry) => string | undefined;

function toObservations(place: string, message: string | undefined): Observation[] {
	return message === undefined ? [] : [{place, message}];
}

function forRoutes(field: string, describe: Contradiction<RouteDefinition>): DocumentCheck {
	return {
		severity: 'warning',
		find: ({routes}) =>
			routes.flatMap((route, index) =>
				toObservations(`routes[${index}].${field}`, describe(route)),
			),
	};
}

function forServices(field: string, describe: Contradiction<ServiceDefinition>): DocumentCheck {
	return {
		severity: 'warning',
		find: ({services}) =>
			Object.entries(services).flatMap(([name, service]) =>
				toObservations(`services.${name}.${field}`, describe(service)),
			),
	};
}

function findSmallBursts({workspaces}: ConfigurationDocument): Observation[] {
	return Object.entries(workspaces).flatMap(([name, {rate, burst}]) => {
		const minBurst = (rate * askMs) / millisecondsPerSecond;
		const message = `burst ${burst} is below ${minBurst}, the requests of ${askMs} ms at rate ${rate}, so the rate may not be reached`;
		return toObservations(`workspaces.${name}.burst`, burst < minBurst ? message : undefined);
	});
}

/** A floor that the targets in active failure domains would not satisfy if all of them were healthy. */
function findUnmetFloors(document: ConfigurationDocument): Observation[] {
	const failureDomains = Object.fromEntries(
		Object.keys(document.failureDomains).map(name => [name, {state: 'in' as const}]),
	);
	return findFloorWarnings({...document, failureDomains}, document).map(
		({service, floorSlots, slotsBefore, slotsAfter}) => ({
			place: `services.${service}.floor`,
			message: `${slotsAfter} of ${slotsBefore} slots are in active failure domains; floor ${document.services[service]!.floor} needs ${floorSlots}`,
		}),
	);
}

function findOutage({failureDomains}: ConfigurationDocument): Observation[] {
	const entries = Object.entries(failureDomains);
	return entries.length > 0 && entries.every(([, {state}]) => state === 'out')
		? [
				{
					place: 'failureDomains',
					message: `all failure domains are out (${entries.map(([name]) => name).join(', ')}), so no request can be served`,
				},
			]
		: [];
}

/** In the order of the report. Linear in the size of the document. */
export const limitChecks = {
	'failure-domains-all-out': {severity: 'error', find: findOutage},
	'floor-not-met': {severity: 'warning', find: findUnmetFloors},
	'burst-below-rate': {severity: 'warning', find: findSmallBursts},
	'objective-not-below-timeout': forRoutes('latencyObjective', ({latencyObjective = 0, timeout}) =>
		latencyObjective >= timeout
			? `latencyObjective ${latencyObjective} is not below timeout ${timeout}, within which every response must begin`
			: undefined,
	),
	'answer-timeout-below-timeout': forRoutes(
		'answerTimeout',
		({answerTimeout = Infinity, timeout}) =>
			answerTimeout < timeout
				? `answerTimeout ${answerTimeout} is below timeout ${timeout}, the time for the head alone`
				: undefined,
	),
	'stall-timeout-above-answer-timeout': forRoutes(
		'stallTimeout',
		({answerTimeout = Infinity, stallTimeout}) =>
			stallTimeout > answerTimeout
				? `stallTimeout ${stallTimeout} is above answerTimeout ${answerTimeout}, so it has no effect`
				: undefined,
	),
	'attempts-without-repeat': forRoutes(
		'attempts',
		({attempts, isDownload, idempotentMethods, methods}) => {
			if (attempts !== 1) {
				return undefined;
			}

			const repeated = idempotentMethods.filter(
				method =>
					!defaultIdempotentMethods.has(method) &&
					(methods.length === 0 || methods.includes(method)),
			);
			const reasons = [
				...(isDownload === true ? ['isDownload: a download that was cut is not resumed'] : []),
				...(repeated.length > 0
					? [`idempotentMethods: ${repeated.join(', ')} is not sent again`]
					: []),
			];
			return reasons.length === 0 ? undefined : `attempts 1 contradicts ${reasons.join('; ')}`;
		},
	),
	'cold-rate-without-time': forServices('coldRate', ({coldRate, coldTime = 0}) =>
		coldRate !== undefined && coldTime === 0
			? `coldRate ${coldRate} without coldTime: targets of a returning failure domain never count as cold`
			: undefined,
	),
	'cold-time-without-rate': forServices('coldTime', ({coldRate, coldTime = 0}) =>
		coldTime > 0 && coldRate === undefined
			? `coldTime ${coldTime} without coldRate: the rate of cold targets is not limited`
			: undefined,
	),
} as const satisfies Readonly<Record<string, DocumentCheck>>;
