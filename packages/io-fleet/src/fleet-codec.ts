/**
 * Encodes and decodes fleet messages. They are MessagePack arrays whose fields are identified by
 * position, because field names would make up most of a message, and traffic between failure
 * domains is expensive. A datagram holds one or more messages in sequence.
 */
import {Packr} from 'msgpackr';
import {
	type FleetMessage,
	type Member,
	type FleetReport,
} from '@shallotpond/policy-fleet/fleet-message';

const packr = new Packr({useRecords: false});

/** First element of every message; datagrams with a message of another version are rejected. */
const formatVersion = 3;

/** Address, failure domain and start. */
type MemberFields = [string, string, number];

const memberFieldsOf = (member: Member): MemberFields => [
	member.address,
	member.failureDomain,
	member.startedAt,
];

function toMember(fields: unknown): Member {
	const [address, failureDomain, startedAt] = fields as MemberFields;
	return {address, failureDomain, startedAt};
}

/** The fields of a report, in the order in which `encoders.report` lists them. */
type ReportFields = [
	boolean,
	number,
	number,
	number | undefined,
	Array<[string, number, number, number, number, number]>,
	Array<[string, number, number, number, number]>,
	boolean,
	Array<[string, number]>,
	Array<[string, string]>,
];

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
		] = fields as ReportFields;
		return {
			kind: 'report',
			from,
			isRelayed,
			configuration: {version, revision, confirmedAgo: confirmedAgo ?? undefined},
			targets: targets.map(([incarnation, good, bad, busy, stale, latency]) => ({
				incarnation,
				good,
				bad,
				busy,
				stale,
				latency,
			})),
			workspaces: workspaces.map(([workspace, asked, admitted, askedBefore, admittedBefore]) => ({
				workspace,
				asked,
				admitted,
				before: {asked: askedBefore, admitted: admittedBefore},
			})),
			isLeaving,
			inFlight,
			crashes: crashes.map(([fingerprint, target]) => ({fingerprint, target})),
		};
	},
	'roster-request': from => ({kind: 'roster-request', from}),
	'roster-answer': (from, fields) => ({
		kind: 'roster-answer',
		from,
		members: fields.map(member => toMember(member)),
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

function decodeMessage(value: unknown): FleetMessage | undefined {
	const [version, kind, from, ...fields] = value as [
		number,
		FleetMessage['kind'],
		unknown,
		...unknown[],
	];
	if (version !== formatVersion || !Object.hasOwn(decoders, kind)) {
		return undefined;
	}

	return decoders[kind](toMember(from), fields);
}

/**
 * Decodes the messages of one datagram; returns undefined if any part of it is not a message of
 * this version.
 */
export function decodeFleetMessages(bytes: Uint8Array): FleetMessage[] | undefined {
	try {
		const values = (packr.unpackMultiple(bytes) ?? []) as unknown[];
		const messages = values.map(value => decodeMessage(value));
		return messages.length === 0 || messages.includes(undefined)
			? undefined
			: (messages as FleetMessage[]);
	} catch {
		return undefined;
	}
}
