/**
 * Connects the request path to what operators see: one span for a request and one for each hop, and
 * histograms of their durations.
 */
import {type RequestTracer} from '@shallotpond/io-http/request-tracer';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type Tracing} from '@shallotpond/observability/tracing';

const failedStatus = 500;
const hopKinds = {admit: 'internal', queue: 'internal', attempt: 'client'} as const;

export type RequestTracerOptions = {
	readonly tracing: Tracing;
	readonly metrics: Metrics;
	readonly clock: Clock;
};

export function createRequestTracer(options: RequestTracerOptions): RequestTracer {
	const {tracing, metrics, clock} = options;
	return {
		startRequest({method, route, traceparent}) {
			const startedAt = clock.monotonic();
			const request = tracing.startHop({
				name: `${method} ${route}`,
				kind: 'server',
				traceparent,
				attributes: {'http.request.method': method, 'shallotpond.route': route},
			});
			return {
				startHop(name, attributes = {}) {
					const hopStartedAt = clock.monotonic();
					const hop = tracing.startHop({
						name,
						kind: hopKinds[name],
						parent: request,
						attributes,
					});
					return {
						traceparent: hop.traceparent,
						end(result) {
							metrics.record(`${name}-duration`, clock.monotonic() - hopStartedAt);
							hop.annotate({result});
							hop.end(result === 'ok' || result === 'delivered' ? undefined : result);
						},
					};
				},
				end(status) {
					metrics.record('request-duration', clock.monotonic() - startedAt, {route});
					request.annotate({'http.response.status_code': status});
					request.end(status === 0 || status >= failedStatus ? `status ${status}` : undefined);
				},
			};
		},
	};
}
