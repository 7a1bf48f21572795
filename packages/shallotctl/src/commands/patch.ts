/**
 * `shallotctl patch <file> --base <version> --patch <file>`: verifies a patch offline and prints
 * the new document or the body of the PATCH request. The operator then publishes it; this tool
 * never writes to the platform.
 */
import {applyPatch, parsePatch} from '@shallotpond/configuration/configuration-patch';
import {type Command} from '../command.js';
import {convertConfigurationErrors, readDocument, readJsonFile} from '../document-files.js';
import {exitCodes} from '../shallotctl-error.js';

export const patch: Command = {
	summary: 'verify a patch offline and print the new document or the PATCH body',
	operands: ['file'],
	settings: ['base', 'patch', 'output'],
	required: ['base', 'patch'],
	async run({operands, settings, terminal}) {
		const document = await readDocument(operands[0]!);
		const path = settings.patch!;
		const base = settings.base!;
		const operations = await readJsonFile(path, '--patch');
		const next = convertConfigurationErrors(path, () =>
			applyPatch({document, base, patch: operations}),
		);
		const isPatchPrinted = settings.output === 'patch';
		const result = isPatchPrinted ? parsePatch(operations) : next;
		terminal.print(JSON.stringify(result, undefined, settings.json ? undefined : '\t'));
		if (isPatchPrinted) {
			terminal.printError(
				`publish with Content-Type: application/json-patch+json and If-Match: "${base}"; it gives version ${next.version}`,
			);
		}

		return exitCodes.ok;
	},
};
