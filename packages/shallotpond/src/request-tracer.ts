/**
 * Connects the request path to OpenTelemetry: one span for a request and one for each hop.
 */
import {type RequestTracer} from '@shallotpond/io-http/request-tracer';
import {type Tracing} from '@shallotpond/observability/tracing';

const failedStatus = 500;
const hopKinds = {admit: 'internal', queue: 'internal', attempt: 'client'} as const;

export function createRequestTracer(tracing: Tracing): RequestTracer {
	return {
		startRequest({method, route, traceparent}) {
			const request = tracing.startHop({
				name: `${method} ${route}`,
				kind: 'server',
				traceparent,
				attributes: {'http.request.method': method, 'shallotpond.route': route},
			});
			return {
				startHop(name, attributes = {}) {
					const hop = tracing.startHop({
						name,
						kind: hopKinds[name],
						parent: request,
						attributes,
					});
					return {
						traceparent: hop.traceparent,
						end(result) {
							hop.annotate({result});
							hop.end(result === 'ok' || result === 'delivered' ? undefined : result);
						},
					};
				},
				end(status) {
					request.annotate({'http.response.status_code': status});
					request.end(status === 0 || status >= failedStatus ? `status ${status}` : undefined);
				},
			};
		},
	};
}
