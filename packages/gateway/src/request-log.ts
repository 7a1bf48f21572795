/**
 * Writes one `request` log line per request when it has ended: its id, its route, and for each hop
 * (a step of its handling, such as an attempt at a target) the decision and the duration. A request
 * that is refused before it gets a route is logged as `request-refused`. Also records the latency
 * histograms.
 */
import {type Clock} from '@shallotpond/kernel/clock';
import {type RequestTracer} from '@shallotpond/io-http/request-tracer';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type EventLog} from '@shallotpond/observability/event-log';

export type RequestLogOptions = {
	readonly clock: Clock;
	readonly log: EventLog;
	readonly metrics: Metrics;
	/**
	 * Version of the current configuration and the time since it was last known to be the newest,
	 * added to each line.
	 */
	readonly configurationState: () => Readonly<Record<string, unknown>>;
};

type HopLine = Record<string, string | number>;

export function createRequestLog(options: RequestLogOptions): RequestTracer {
	const {clock, log, metrics} = options;
	return {
		recordRefusal({id, method, code}) {
			log.write('request-refused', {id, method, code, ...options.configurationState()});
		},
		startRequest({id, method, route, workspace}) {
			const startedAt = clock.monotonic();
			const hops: HopLine[] = [];
			return {
				startHop(name, attributes = {}) {
					const hopStartedAt = clock.monotonic();
					const line: HopLine = {
						hop: name,
						at: Math.round(hopStartedAt - startedAt),
						...attributes,
					};
					hops.push(line);
					return {
						traceparent: undefined,
						end(result, basis = {}) {
							const duration = clock.monotonic() - hopStartedAt;
							line.result = result;
							Object.assign(line, basis);
							line.ms = Math.round(duration);
							metrics.recordDuration(`${name}-duration`, duration);
						},
					};
				},
				end(status, cut) {
					const duration = clock.monotonic() - startedAt;
					metrics.recordDuration('request-duration', duration);
					log.write('request', {
						id,
						method,
						route,
						workspace,
						status,
						ms: Math.round(duration),
						closedFor: cut?.reason,
						behind: cut?.earlierResponses,
						hops,
						...options.configurationState(),
					});
				},
			};
		},
	};
}
