/**
 * `shallotctl check <file>`: validates a configuration document.
 */
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {digestDocument} from '@shallotpond/configuration/document-digest';
import {type Command} from '../command.js';
import {readDocument} from '../document-files.js';
import {exitCodes, ShallotctlError} from '../shallotctl-error.js';
import {formatTable} from '../text-table.js';

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

export const check: Command = {
	summary: 'check a configuration document and list every problem',
	operands: ['file'],
	settings: [],
	required: [],
	async run({operands, settings, terminal}) {
		try {
			const summary = summarize(await readDocument(operands[0]!));
			terminal.print(
				settings.json
					? JSON.stringify({valid: true, problems: [], ...summary})
					: formatTable([summary]),
			);
			return exitCodes.ok;
		} catch (error) {
			if (settings.json && error instanceof ShallotctlError && error.code === 'refused') {
				terminal.print(JSON.stringify({valid: false, problems: error.problems}));
				return exitCodes.refused;
			}

			throw error;
		}
	},
};
