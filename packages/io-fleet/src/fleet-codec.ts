/**
 * Encodes and decodes fleet messages. They are MessagePack arrays whose fields are identified by
 * position, because field names would make up most of a message, and traffic between failure
 * domains is expensive. A datagram holds one or more messages in sequence.
 */
import {isIP} from 'node:net';
import {Packr} from 'msgpackr';
import {
	type FleetMessage,
	type Member,
	type FleetReport,
	type SuspectRequest,
	type TargetCrash,
	type TargetLoad,
	type TargetReport,
	type WorkspaceUsageTotal,
} from '@shallotpond/policy-fleet/fleet-message';

const packr = new Packr({useRecords: false});

/** First element of every message; messages of another version are rejected. */
const formatVersion = 3;

/** Address, failure domain and start. */
type MemberFields = [string, string, number];

const memberFieldsOf = (member: Member): MemberFields => [
	member.address,
	member.failureDomain,
	member.startedAt,
];

/** Characters; more than any name that the platform allows. */
const maxTextLength = 1000;

function reject(expected: string): never {
	throw new TypeError(`a field of a fleet message is not ${expected}`);
}

function toText(value: unknown): string {
	return typeof value === 'string' && value.length <= maxTextLength ? value : reject('a name');
}

/** A number that is not negative and exact in arithmetic with others of its kind. */
function toCount(value: unknown): number {
	return typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER
		? value
		: reject('a count');
}

function toFlag(value: unknown): boolean {
	return typeof value === 'boolean' ? value : reject('a flag');
}

function toList<Item>(value: unknown, toItem: (item: unknown) => Item): Item[] {
	return Array.isArray(value) ? value.map(item => toItem(item)) : reject('a list');
}

function toFields(value: unknown): unknown[] {
	return Array.isArray(value) ? (value as unknown[]) : reject('a list of fields');
}

/** Messages are sent to the addresses of members, so no name may get there that would be resolved. */
function toAddress(value: unknown): string {
	return typeof value === 'string' && isIP(value) !== 0 ? value : reject('an IP address');
}

function toMember(value: unknown): Member {
	const [address, failureDomain, startedAt] = toFields(value);
	return {
		address: toAddress(address),
		failureDomain: toText(failureDomain),
		startedAt: toCount(startedAt),
	};
}

function toTargetReport(value: unknown): TargetReport {
	// Instances of an earlier version send neither `unreached` nor `late`, which is also left out if
	// there are no late attempts.
	const [incarnation, good, bad, busy, stale, latency, unreached = 0, late] = toFields(value);
	return {
		incarnation: toText(incarnation),
		good: toCount(good),
		bad: toCount(bad),
		busy: toCount(busy),
		stale: toCount(stale),
		latency: toCount(latency),
		unreached: toCount(unreached),
		...(late === undefined ? {} : {late: toCount(late)}),
	};
}

function toUsageTotal(value: unknown): WorkspaceUsageTotal {
	const [workspace, asked, admitted, askedBefore, admittedBefore] = toFields(value);
	return {
		workspace: toText(workspace),
		asked: toCount(asked),
		admitted: toCount(admitted),
		before: {asked: toCount(askedBefore), admitted: toCount(admittedBefore)},
	};
}

function toTargetLoad(value: unknown): TargetLoad {
	const [incarnation, requests] = toFields(value);
	return [toText(incarnation), toCount(requests)];
}

function toSuspect(value: unknown): SuspectRequest {
	const [fingerprint, targets, expiresIn] = toFields(value);
	return {
		fingerprint: toText(fingerprint),
		targets: toList(targets, toText),
		expiresIn: toCount(expiresIn),
	};
}

function toCrash(value: unknown): TargetCrash {
	const [fingerprint, target] = toFields(value);
	return {fingerprint: toText(fingerprint), target: toText(target)};
}

/** The fields of a report, in the order in which `encoders.report` lists them. */
type ReportFields = [
	boolean,
	number,
	number,
	number | undefined,
	Array<[string, ...number[]]>,
	Array<[string, number, number, number, number]>,
	boolean,
	Array<[string, number]>,
	Array<[string, string]>,
	string[],
	string[],
	...OptionalReportFields,
];

/** Era, and fingerprints of refused requests. */
type OptionalReportFields = [(number | undefined)?, string[]?];

/** Without a known era and refusals, a report is the same as one of an earlier version. */
function optionalFieldsOf(report: FleetReport): OptionalReportFields {
	const {configuration, refusedRequests = []} = report;
	if (refusedRequests.length > 0) {
		return [configuration.era, [...refusedRequests]];
	}

	return configuration.era === undefined ? [] : [configuration.era];
}

const encoders = {
	report: (report: FleetReport): ReportFields => [
		report.isRelayed,
		report.configuration.version,
		report.configuration.revision,
		report.configuration.confirmedAgo,
		report.targets.map(target => [
			target.incarnation,
			target.good,
			target.bad,
			target.busy,
			target.stale,
			Math.round(target.latency),
			target.unreached,
			...(target.late === undefined || target.late === 0 ? [] : [target.late]),
		]),
		report.workspaces.map(({workspace, asked, admitted, before}) => [
			workspace,
			asked,
			admitted,
			before.asked,
			before.admitted,
		]),
		report.isLeaving,
		report.inFlight.map(([incarnation, requests]) => [incarnation, requests]),
		report.crashes.map(({fingerprint, target}) => [fingerprint, target]),
		[...report.leavingTargets],
		[...report.clearedRequests],
		...optionalFieldsOf(report),
	],
	'suspects-request': () => [],
	'suspects-answer': ({
		isInformed,
		part,
		parts,
		suspects,
	}: FleetMessage & {kind: 'suspects-answer'}) => [
		isInformed,
		part,
		parts,
		suspects.map(({fingerprint, targets, expiresIn}) => [fingerprint, targets, expiresIn]),
	],
	'roster-request': () => [],
	'roster-answer': (message: FleetMessage & {kind: 'roster-answer'}) =>
		message.members.map(member => memberFieldsOf(member)),
} as const;

const decoders: Readonly<
	Record<FleetMessage['kind'], (from: Member, fields: unknown[]) => FleetMessage>
> = {
	report(from, fields) {
		const [
			isRelayed,
			version,
			revision,
			confirmedAgo,
			targets,
			workspaces,
			isLeaving,
			inFlight,
			crashes,
			// Instances of an earlier version do not send these fields.
			leavingTargets = [],
			clearedRequests = [],
			era,
			refusedRequests = [],
		] = fields;
		return {
			kind: 'report',
			from,
			isRelayed: toFlag(isRelayed),
			configuration: {
				version: toCount(version),
				revision: toCount(revision),
				...(era === undefined || era === null ? {} : {era: toCount(era)}),
				confirmedAgo:
					confirmedAgo === undefined || confirmedAgo === null ? undefined : toCount(confirmedAgo),
			},
			targets: toList(targets, toTargetReport),
			workspaces: toList(workspaces, toUsageTotal),
			isLeaving: toFlag(isLeaving),
			inFlight: toList(inFlight, toTargetLoad),
			crashes: toList(crashes, toCrash),
			leavingTargets: toList(leavingTargets, toText),
			clearedRequests: toList(clearedRequests, toText),
			refusedRequests: toList(refusedRequests, toText),
		};
	},
	'suspects-request': from => ({kind: 'suspects-request', from}),
	'suspects-answer': (from, [isInformed, part, parts, suspects]) => ({
		kind: 'suspects-answer',
		from,
		isInformed: toFlag(isInformed),
		part: toCount(part),
		parts: toCount(parts),
		suspects: toList(suspects, toSuspect),
	}),
	'roster-request': from => ({kind: 'roster-request', from}),
	'roster-answer': (from, fields) => ({
		kind: 'roster-answer',
		from,
		members: toList(fields, toMember),
	}),
};

export function encodeFleetMessage(message: FleetMessage): Uint8Array {
	const encode = encoders[message.kind] as (message: FleetMessage) => unknown[];
	return packr.pack([
		formatVersion,
		message.kind,
		memberFieldsOf(message.from),
		...encode(message),
	]);
}

/** Throws a `TypeError` if the value is not a message of this version. */
function decodeMessage(value: unknown): FleetMessage {
	const [version, kind, from, ...fields] = toFields(value);
	if (version !== formatVersion || typeof kind !== 'string' || !Object.hasOwn(decoders, kind)) {
		reject('a known version and kind');
	}

	return decoders[kind as FleetMessage['kind']](toMember(from), fields);
}

function unpack(bytes: Uint8Array): unknown[] | undefined {
	try {
		return packr.unpackMultiple(bytes) as unknown[] | undefined;
	} catch {
		return undefined;
	}
}

/**
 * Decodes the messages of one datagram. Calls `onRefused` for each message that is malformed or of
 * another version, and once if the bytes are not a sequence of messages. Never throws.
 */
export function decodeFleetMessages(bytes: Uint8Array, onRefused: () => void): FleetMessage[] {
	const values = unpack(bytes) ?? [];
	if (values.length === 0) {
		onRefused();
	}

	return values.flatMap(value => {
		try {
			return [decodeMessage(value)];
		} catch {
			onRefused();
			return [];
		}
	});
}
