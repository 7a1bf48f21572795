/**
 * The platform's names that appear outside a body: headers, paths, keys of the store and the
 * variable that names the settings file. Node gives header names in lower case.
 */
export const headerNames = {
	requestId: 'x-shallotpond-request-id',
	/** What is left for the receiver, not a point in time. */
	deadline: 'x-shallotpond-deadline-ms',
	/** A MAC over the answer, by which callers know a target's own bytes. */
	responseSeal: 'x-shallotpond-response-seal',
	workspace: 'x-shallotpond-tenant',
	/** Id of the server that must run the request; any other one at the address refuses it. */
	target: 'x-shallotpond-target-instance',
	notExecuted: 'x-shallotpond-not-executed',
	key: 'x-shallotpond-credential',
} as const;

export const paths = {
	ready: '/api/ready',
	range: '/api/kv-range',
	watch: '/api/kv-watch',
} as const;

export const storeKeys = {
	configuration: 'op/config',
	evacuationPrefix: 'op/evacuate/',
	targetPrefix: 'servers/',
} as const;

/** Status of an answer from a process that is not the target that the request names. */
export const misdirectedStatus = 421;
