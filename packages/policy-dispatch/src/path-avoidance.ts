/**
 * Targets that this instance does not reach although others may. The instance avoids such a target
 * and tries it again after 5 s, doubling up to 60 s; the target's health is judged elsewhere.
 */
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';

export type PathAvoidance = {
	/** Counts the result of an attempt from this instance to the target. */
	record(service: string, target: string, result: AttemptResult, now: number): void;
	/** Targets of the service to avoid now. Linear in the targets with a path fault. */
	avoidedTargets(service: string, now: number): string[];
};

type Path = {failures: number; avoidFor: number; avoidUntil: number};

const shortestAvoidance = 5000;
const longestAvoidance = 60_000;
/** Failures in a row; one alone is ordinary noise. */
const failuresToAvoid = 3;

const pathFailures: ReadonlySet<AttemptResult> = new Set([
	'connection-failed',
	'connection-broken',
	'timeout',
]);

export function createPathAvoidance(): PathAvoidance {
	const paths = new Map<string, Map<string, Path>>();

	function countFailure(service: string, target: string, now: number): void {
		const targets = paths.get(service) ?? new Map<string, Path>();
		paths.set(service, targets);
		const path = targets.get(target) ?? {failures: 0, avoidFor: shortestAvoidance, avoidUntil: 0};
		targets.set(target, path);
		path.failures++;
		// Requests that were under way when the avoidance began must not double it.
		if (path.failures >= failuresToAvoid && now >= path.avoidUntil) {
			path.avoidUntil = now + path.avoidFor;
			path.avoidFor = Math.min(2 * path.avoidFor, longestAvoidance);
		}
	}

	return {
		record(service, target, result, now) {
			if (pathFailures.has(result)) {
				countFailure(service, target, now);
			} else if (result !== 'cancelled') {
				// Any answer shows that the path works.
				paths.get(service)?.delete(target);
			}
		},
		avoidedTargets(service, now) {
			const avoided: string[] = [];
			for (const [target, path] of paths.get(service) ?? []) {
				if (path.avoidUntil > now) {
					avoided.push(target);
				}
			}

			return avoided;
		},
	};
}
