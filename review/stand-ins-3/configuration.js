/**
 * The configuration that the operator writes to the store.
 */
/* eslint-disable camelcase -- field names of the platform's pages */
export const host = 'review.example';

export function createConfiguration({version, routes, services, tenants}) {
	return {
		version: `r${version}`,
		routes: routes.map(route => ({
			host,
			timeout_ms: 2500,
			target_latency_ms: 1200,
			max_attempts: 2,
			priority: 1,
			...route,
		})),
		services: services.map(name => ({
			name,
			health_path: '/health',
			max_connections: 330,
			cold_s: 3,
			cold_per_s: 10,
		})),
		tenants,
		limits: {
			header_bytes: 16_384,
			body_bytes: 1_048_576,
			header_timeout_ms: 5000,
			idle_timeout_ms: 15_000,
		},
	};
}
