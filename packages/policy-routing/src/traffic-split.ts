/**
 * Distributes the requests of a route over its services by weight. Draws from a low-discrepancy
 * sequence instead of independent random numbers, so that a single instance matches the weights
 * after a few requests.
 */
import {type RouteDefinition} from '@shallotpond/configuration/document-schema';
import {drawWeighted, type Random} from '@shallotpond/kernel/random';

export type TrafficSplit = {
	/** The service for the next request of the route. */
	choose(route: RouteDefinition): string;
};

/**
 * Fractional part of the golden ratio, which gives the additive recurrence with the most even
 * spread.
 */
const stride = 0.618_033_988_749_895;

export function createTrafficSplit(random: Random): TrafficSplit {
	const positions = new Map<string, number>();
	return {
		choose(route) {
			const {split} = route;
			if (split === undefined) {
				return route.service;
			}

			const position = ((positions.get(route.id) ?? random()) + stride) % 1;
			positions.set(route.id, position);
			const drawn = drawWeighted(
				split,
				({weight}) => weight,
				() => position,
			);
			return (drawn ?? split[0]!).service;
		},
	};
}
