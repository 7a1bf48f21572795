/**
 * `shallotctl check <file>`: checks a configuration document before it is sent, and compares it with
 * the one in force if `--current` names it.
 */
import {
	checkConfiguration,
	type ConfigurationCheckResult,
	type Finding,
} from '@shallotpond/configuration/configuration-check';
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {digestDocument} from '@shallotpond/configuration/document-digest';
import {type Command, type Terminal} from '../command.js';
import {readDocument, readJsonFile} from '../document-files.js';
import {exitCodes, ShallotctlError} from '../shallotctl-error.js';
import {formatCell, formatTable} from '../text-table.js';

function summarize(document: ConfigurationDocument) {
	const services = Object.values(document.services);
	return {
		version: document.version,
		digest: digestDocument(document),
		failureDomains: Object.keys(document.failureDomains).length,
		services: services.length,
		targets: services.reduce((sum, service) => sum + service.targets.length, 0),
		routes: document.routes.length,
		workspaces: Object.keys(document.workspaces).length,
	};
}

function formatFinding({severity, code, place, message}: Finding): string {
	return formatCell(`${severity} ${code}: ${place}: ${message}`);
}

function formatProblem(path: string, {place, message}: Finding): string {
	return `${path}: ${place}: ${message}`;
}

function printJson(path: string, result: ConfigurationCheckResult, terminal: Terminal): void {
	const {document, findings, differences} = result;
	const errors = findings.filter(({severity}) => severity === 'error');
	const report = {
		valid: errors.length === 0,
		problems: errors.map(finding => formatProblem(path, finding)),
		findings,
		differences,
		...(document === undefined ? {} : summarize(document)),
	};
	terminal.print(JSON.stringify(report));
}

/** Errors are printed to standard error, everything else to standard output. */
function printText(path: string, result: ConfigurationCheckResult, terminal: Terminal): void {
	const {document, findings, differences} = result;
	if (document !== undefined) {
		terminal.print(formatTable([summarize(document)]));
	}

	for (const finding of findings) {
		if (finding.severity === 'error') {
			terminal.printError(`shallotctl: ${path}: ${formatFinding(finding)}`);
		} else {
			terminal.print(formatFinding(finding));
		}
	}

	for (const difference of differences) {
		terminal.print(formatCell(`difference: ${difference}`));
	}
}

export const check: Command = {
	summary:
		'check a configuration document before it is sent: errors, entries that never match, contradicting limits, differences from the version in force; exit code 1 for errors, with --strict also for warnings',
	operands: ['file'],
	settings: ['current', 'strict'],
	required: [],
	async run({operands, settings, terminal}) {
		const path = operands[0]!;
		let result: ConfigurationCheckResult;
		try {
			const input = await readJsonFile(path, '<file>');
			const inForce =
				settings.current === undefined
					? undefined
					: await readDocument(settings.current, '--current');
			result = checkConfiguration({input, inForce});
		} catch (error) {
			if (settings.json && error instanceof ShallotctlError && error.code === 'refused') {
				const {problems} = error;
				terminal.print(JSON.stringify({valid: false, problems, findings: [], differences: []}));
				return exitCodes.refused;
			}

			throw error;
		}

		const print = settings.json ? printJson : printText;
		print(path, result, terminal);
		const isRefused = result.findings.some(({severity}) => severity === 'error' || settings.strict);
		return isRefused ? exitCodes.refused : exitCodes.ok;
	},
};
