/**
 * Records which targets this instance cannot reach although other instances may reach them (a path
 * fault). After three consecutive failures the instance avoids the target for 5 s and then tries it
 * again; if the attempt fails, it avoids the target for twice as long as before, up to 60 s. Any
 * response ends the avoidance. The health of the target itself is evaluated by its coordinator.
 */
import {type AttemptResult} from '@shallotpond/kernel/attempt-outcome';

export type PathAvoidance = {
	/** Counts the result of an attempt from this instance to the target. */
	record(service: string, target: string, result: AttemptResult, now: number): void;
	/**
	 * Targets of the service to avoid at present. Linear in the targets whose last attempts failed.
	 */
	avoidedTargets(service: string, now: number): string[];
};

/** A target whose last attempts failed. `avoidUntil` in monotonic milliseconds. */
type Path = {consecutiveFailures: number; nextAvoidanceMs: number; avoidUntil: number};

const minAvoidanceMs = 5000;
const maxAvoidanceMs = 60_000;
/** Consecutive failures after which a target is avoided; a single one is ordinary noise. */
const failuresToAvoid = 3;

const pathFailures: ReadonlySet<AttemptResult> = new Set([
	'connection-failed',
	'connection-broken',
	'timeout',
]);

export function createPathAvoidance(): PathAvoidance {
	const paths = new Map<string, Map<string, Path>>();

	function recordFailure(service: string, target: string, now: number): void {
		const targets = paths.get(service) ?? new Map<string, Path>();
		paths.set(service, targets);
		const path = targets.get(target) ?? {
			consecutiveFailures: 0,
			nextAvoidanceMs: minAvoidanceMs,
			avoidUntil: 0,
		};
		targets.set(target, path);
		path.consecutiveFailures++;
		// Requests that were in flight when the avoidance began must not double its duration.
		if (path.consecutiveFailures >= failuresToAvoid && now >= path.avoidUntil) {
			path.avoidUntil = now + path.nextAvoidanceMs;
			path.nextAvoidanceMs = Math.min(2 * path.nextAvoidanceMs, maxAvoidanceMs);
		}
	}

	return {
		record(service, target, result, now) {
			if (pathFailures.has(result)) {
				recordFailure(service, target, now);
			} else if (result !== 'cancelled') {
				// Any response shows that the path works.
				paths.get(service)?.delete(target);
			}
		},
		avoidedTargets(service, now) {
			const targetsToAvoid: string[] = [];
			for (const [target, path] of paths.get(service) ?? []) {
				if (path.avoidUntil > now) {
					targetsToAvoid.push(target);
				}
			}

			return targetsToAvoid;
		},
	};
}
