/**
 * Check of a document before it is sent: problems that make instances refuse it, entries without
 * effect, limits that contradict each other, and the differences from the version in force.
 */
import {findFloorWarnings} from './capacity-change.js';
import {ConfigurationError} from './configuration-error.js';
import {type DocumentCheck, type FindingSeverity, type Observation} from './document-check.js';
import {diffDocuments} from './document-diff.js';
import {type ConfigurationDocument} from './document-schema.js';
import {limitChecks} from './limit-checks.js';
import {matchingChecks} from './matching-checks.js';
import {parseDocument} from './parse-document.js';

const documentChecks = {...matchingChecks, ...limitChecks};

export type FindingCode =
	| 'invalid-document'
	| 'version-not-newer'
	/**
	 * The change leaves a service fewer usable slots than its floor needs. Only for services without
	 * `floor-not-met`, which says so of the new document by itself.
	 */
	| 'capacity-below-floor'
	| keyof typeof documentChecks;

export type Finding = Observation & {
	/** Stable, so that scripts can rely on it. */
	readonly code: FindingCode;
	readonly severity: FindingSeverity;
};

export type ConfigurationCheckOptions = {
	/** The document to check, as parsed from JSON. */
	readonly input: unknown;
	readonly inForce?: ConfigurationDocument;
};

export type ConfigurationCheckResult = {
	/** Undefined if it is not valid. The other checks have then not been made. */
	readonly document: ConfigurationDocument | undefined;
	readonly findings: readonly Finding[];
	/** One line for each entry that differs from the version in force. */
	readonly differences: readonly string[];
};

/** Converts a problem such as `routes[3].timeout: ...`. */
function toInvalidDocumentFinding(problem: string): Finding {
	const end = problem.indexOf(': ');
	return {
		code: 'invalid-document',
		severity: 'error',
		place: problem.slice(0, end),
		message: problem.slice(end + 2),
	};
}

function runDocumentChecks(document: ConfigurationDocument): Finding[] {
	return (Object.entries(documentChecks) as Array<[FindingCode, DocumentCheck]>).flatMap(
		([code, {severity, find}]) =>
			find(document).map(observation => ({code, severity, ...observation})),
	);
}

function checkChange(inForce: ConfigurationDocument, document: ConfigurationDocument): Finding[] {
	const versionFindings: Finding[] =
		document.version > inForce.version
			? []
			: [
					{
						code: 'version-not-newer',
						severity: 'error',
						place: 'version',
						message: `version ${document.version} is not above version ${inForce.version}, which is in force`,
					},
				];
	const capacityFindings = findFloorWarnings(inForce, document).map(
		({service, floorSlots, slotsBefore, slotsAfter}): Finding => ({
			code: 'capacity-below-floor',
			severity: 'warning',
			place: `services.${service}.floor`,
			message: `goes from ${slotsBefore} to ${slotsAfter} usable slots; its floor needs ${floorSlots}`,
		}),
	);
	return [...versionFindings, ...capacityFindings];
}

function describeDifferences(
	inForce: ConfigurationDocument,
	document: ConfigurationDocument,
): string[] {
	return [
		`version: ${inForce.version} -> ${document.version}`,
		...diffDocuments(inForce, document).map(({area, name, change, details}) => {
			const subject = name === '' ? area : `${area} ${name}`;
			return `${subject} ${change}${details.length === 0 ? '' : `: ${details.join('; ')}`}`;
		}),
	];
}

/**
 * Never throws for an invalid document. Problems that involve several fields, and all findings other
 * than `invalid-document`, are found only if each field is valid by itself.
 */
export function checkConfiguration(options: ConfigurationCheckOptions): ConfigurationCheckResult {
	const {input, inForce} = options;
	let document: ConfigurationDocument;
	try {
		document = parseDocument(input);
	} catch (error) {
		if (error instanceof ConfigurationError) {
			const findings = error.problems.map(problem => toInvalidDocumentFinding(problem));
			return {document: undefined, findings, differences: []};
		}

		throw error;
	}

	const documentFindings = runDocumentChecks(document);
	const unmetFloors = new Set(
		documentFindings.filter(({code}) => code === 'floor-not-met').map(({place}) => place),
	);
	const changeFindings = inForce === undefined ? [] : checkChange(inForce, document);
	return {
		document,
		findings: [...changeFindings.filter(({place}) => !unmetFloors.has(place)), ...documentFindings],
		differences: inForce === undefined ? [] : describeDifferences(inForce, document),
	};
}
