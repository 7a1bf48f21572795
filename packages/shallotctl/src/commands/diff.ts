/**
 * `shallotctl diff <old> <new>`: lists the differences between two documents.
 */
import {diffDocuments, formatDifferences} from '@shallotpond/configuration/document-diff';
import {type Command} from '../command.js';
import {readDocument} from '../document-files.js';
import {exitCodes} from '../shallotctl-error.js';

export const diff: Command = {
	summary: 'list the differences between two documents',
	operands: ['old', 'new'],
	settings: [],
	required: [],
	async run({operands, settings, terminal}) {
		const before = await readDocument(operands[0]!);
		const after = await readDocument(operands[1]!);
		const differences = diffDocuments(before, after);
		if (settings.json) {
			const versions = {from: before.version, to: after.version};
			terminal.print(JSON.stringify({...versions, differences}));
			return exitCodes.ok;
		}

		terminal.print(`version ${before.version} -> ${after.version}`);
		terminal.print(differences.length === 0 ? 'no differences' : formatDifferences(differences));
		return exitCodes.ok;
	},
};
