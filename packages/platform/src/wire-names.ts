/**
 * The platform's names that appear outside of bodies: headers, paths, keys of the store and a
 * status code. Header names are in lower case, as Node.js provides them.
 */
export const headerNames = {
	requestId: 'x-shallotpond-request-id',
	/** Milliseconds left for the receiver, not a point in time. */
	deadline: 'x-shallotpond-deadline-ms',
	/** A MAC over the response, with which callers verify that its bytes come from a target. */
	responseSeal: 'x-shallotpond-response-seal',
	workspace: 'x-shallotpond-tenant',
	/** Id of the target that must run the request; any other process at its address rejects it. */
	target: 'x-shallotpond-target-instance',
	notExecuted: 'x-shallotpond-not-executed',
	/** `1` in each response of a target that is leaving. */
	leaving: 'server-leaving',
	key: 'x-shallotpond-credential',
	/** Era of the store, in all its responses; rises when it comes back from an older copy. */
	storeEra: 'store-era',
} as const;

export const platformPaths = {
	ready: '/api/ready',
	range: '/api/kv-range',
	watch: '/api/kv-watch',
} as const;

export const storeKeys = {
	configuration: 'op/config',
	evacuationPrefix: 'op/evacuate/',
	targetPrefix: 'servers/',
} as const;

/** Status code of a response from a process that is not the target named in the request. */
export const misdirectedStatus = 421;
