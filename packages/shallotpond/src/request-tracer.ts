/**
 * Makes the request path observable: records one span for each request and one for each of its hops
 * (admission, waiting for a slot, attempt at a target), and histograms of their durations.
 */
import {type RequestTracer} from '@shallotpond/io-http/request-tracer';
import {type Clock} from '@shallotpond/kernel/clock';
import {type Metrics} from '@shallotpond/observability/metrics';
import {type Tracing} from '@shallotpond/observability/tracing';

/**
 * Responses with this status or a higher one mark their span as failed, as does 0, which stands for
 * a response that was not sent completely.
 */
const minErrorStatus = 500;
const spanKinds = {
	admit: 'internal',
	queue: 'internal',
	attempt: 'client',
	check: 'client',
	turn: 'internal',
} as const;

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
			const requestSpan = tracing.startSpan({
				name: `${method} ${route}`,
				kind: 'server',
				traceparent,
				attributes: {'http.request.method': method, 'shallotpond.route': route},
			});
			return {
				startHop(name, attributes = {}) {
					const hopStartedAt = clock.monotonic();
					const hopSpan = tracing.startSpan({
						name,
						kind: spanKinds[name],
						parent: requestSpan,
						attributes,
					});
					return {
						traceparent: hopSpan.traceparent,
						end(result) {
							metrics.recordDuration(`${name}-duration`, clock.monotonic() - hopStartedAt);
							hopSpan.annotate({result});
							hopSpan.end(result === 'ok' || result === 'delivered' ? undefined : result);
						},
					};
				},
				end(status) {
					metrics.recordDuration('request-duration', clock.monotonic() - startedAt, {route});
					requestSpan.annotate({'http.response.status_code': status});
					requestSpan.end(
						status === 0 || status >= minErrorStatus ? `status ${status}` : undefined,
					);
				},
			};
		},
	};
}
