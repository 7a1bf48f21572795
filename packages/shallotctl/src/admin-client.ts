/**
 * Client of the admin listener of an instance: `GET /status` and `POST /drain`.
 */
import {callHttp, parseJsonResponse, type HttpResponse} from '@shallotpond/io-platform/http-call';
import {PlatformError} from '@shallotpond/io-platform/platform-error';
import {type CommandContext} from './command.js';
import {ShallotctlError} from './shallotctl-error.js';
import {type TableRow} from './text-table.js';

/** Bytes. A status response lists up to 44,000 workspaces. */
const maxResponseSize = 67_108_864;
const unreachableCodes = new Set<string>(['unreachable', 'timeout']);

export type InstanceStatus = {
	readonly instance: string;
	/** Version of the current configuration; 0 before the first one is adopted. */
	readonly version: number;
	readonly ready: boolean;
	readonly members: readonly TableRow[];
	readonly targets: readonly TableRow[];
	readonly workspaces: readonly TableRow[];
};

async function callAdminListener(
	{settings, terminal}: CommandContext,
	method: 'GET' | 'POST',
	path: string,
): Promise<HttpResponse> {
	const {admin, timeout} = settings;
	const url = new URL(path, admin);
	try {
		return await callHttp({
			url,
			method,
			timeout,
			maxResponseSize,
			clock: terminal.clock,
		});
	} catch (error) {
		const isUnreachable = error instanceof PlatformError && unreachableCodes.has(error.code);
		const reason = error instanceof Error ? error.message : String(error);
		throw new ShallotctlError(
			isUnreachable ? 'unreachable' : 'refused',
			[`${admin}: ${isUnreachable ? 'is not reachable: ' : ''}${reason || 'connection failed'}`],
			{cause: error},
		);
	}
}

function isRowArray(value: unknown): value is TableRow[] {
	return (
		Array.isArray(value) &&
		value.every(row => typeof row === 'object' && row !== null && !Array.isArray(row))
	);
}

function parseStatus(value: unknown): InstanceStatus | undefined {
	if (typeof value !== 'object' || value === null) {
		return undefined;
	}

	const {instance, version, ready, members, targets, workspaces} = value as TableRow;
	const isValid =
		typeof instance === 'string' &&
		typeof version === 'number' &&
		typeof ready === 'boolean' &&
		[members, targets, workspaces].every(rows => isRowArray(rows));
	return isValid ? (value as InstanceStatus) : undefined;
}

function parseJson(admin: string, response: HttpResponse): unknown {
	try {
		return parseJsonResponse(response);
	} catch (error) {
		throw new ShallotctlError('refused', [`${admin}: the response is not JSON`], {cause: error});
	}
}

/**
 * Rejects with a `ShallotctlError`: `unreachable`, or `refused` if the instance does not respond with
 * a valid status.
 */
export async function readStatus(context: CommandContext): Promise<InstanceStatus> {
	const {admin} = context.settings;
	const response = await callAdminListener(context, 'GET', '/status');
	if (response.status !== 200) {
		throw new ShallotctlError('refused', [
			`${admin}: responded with status ${response.status} to GET /status`,
		]);
	}

	const status = parseStatus(parseJson(admin, response));
	if (status === undefined) {
		throw new ShallotctlError('refused', [
			`${admin}: the response to GET /status is not a valid status`,
		]);
	}

	return status;
}

/**
 * Requests a graceful shutdown. Rejects with a `ShallotctlError`: `unreachable`, or `refused` if the
 * status code is not 2xx.
 */
export async function requestDrain(context: CommandContext): Promise<void> {
	const response = await callAdminListener(context, 'POST', '/drain');
	if (response.status < 200 || response.status > 299) {
		const {admin} = context.settings;
		throw new ShallotctlError('refused', [
			`${admin}: responded with status ${response.status} to POST /drain`,
		]);
	}
}
