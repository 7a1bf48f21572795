/* eslint-disable camelcase -- names of the platform */
/** The operator's configuration and the entries of servers, as the store holds them. */

export function createRoute({name, host, prefix, kind, service, isPublic = false, timeout = 2500}) {
	return {
		name,
		host,
		prefix,
		kind,
		timeout_ms: timeout,
		target_latency_ms: 1200,
		priority: 2,
		service,
		max_attempts: 2,
		public: isPublic,
	};
}

/** Without rates: what a tenant may send has no limit. */
export function createConfiguration({version, routes, services, keysByTenant}) {
	return {
		version: `r${version}`,
		routes,
		services: services.map(name => ({
			name,
			health_path: '/health',
			max_connections: 330,
			protocol: 'h1',
			tls: false,
		})),
		limits: {
			header_bytes: 16_384,
			body_bytes: 67_108_864,
			header_timeout_ms: 3000,
			idle_timeout_ms: 15_000,
		},
		tenants: Object.entries(keysByTenant).map(([name, api_keys]) => ({
			name,
			api_keys,
			priority: 1,
			rate_per_s: 0,
			burst: 0,
		})),
	};
}

export function createServerEntry({address, service, zone, born, state = 'ready', sequence = 4}) {
	return {
		address,
		born,
		info: {service, version: 'v1', zone, slots: 4},
		status: {state, sequence, cold_remaining_ms: 0},
	};
}
