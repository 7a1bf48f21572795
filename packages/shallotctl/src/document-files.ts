/**
 * Reads configuration documents and patches from files.
 */
import {readFile} from 'node:fs/promises';
import {ConfigurationError} from '@shallotpond/configuration/configuration-error';
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {parseDocument} from '@shallotpond/configuration/parse-document';
import {ShallotctlError} from './shallotctl-error.js';

/**
 * Reads and parses a JSON file. `label` names the operand or flag in messages. Rejects with a
 * `ShallotctlError`: `usage` if the file cannot be read, `refused` if it is not JSON.
 */
export async function readJsonFile(path: string, label: string): Promise<unknown> {
	let text: string;
	try {
		text = await readFile(path, 'utf8');
	} catch (error) {
		const reason = (error as NodeJS.ErrnoException).code ?? 'unknown error';
		throw new ShallotctlError(
			'usage',
			[`${label}: ${JSON.stringify(path)} cannot be read (${reason}); must be the path of a file`],
			{cause: error},
		);
	}

	try {
		return JSON.parse(text);
	} catch (error) {
		// Leaves out the parser's message, which quotes the file and may therefore contain a key digest.
		throw new ShallotctlError('refused', [`${path}: is not JSON`], {cause: error});
	}
}

/**
 * Converts a `ConfigurationError` from `action` to a `ShallotctlError` (`refused`). Its problems are
 * prefixed with `source`, the path of the file.
 */
export function convertConfigurationErrors<Result>(source: string, action: () => Result): Result {
	try {
		return action();
	} catch (error) {
		if (error instanceof ConfigurationError) {
			const problems = error.problems.map(problem => `${source}: ${problem}`);
			throw new ShallotctlError('refused', problems, {cause: error});
		}

		throw error;
	}
}

/**
 * Reads and validates a configuration document. `label` names the operand or flag. Rejects with a `ShallotctlError`: `usage` if the
 * file cannot be read, `refused` with the problems if it is not a valid document.
 */
export async function readDocument(path: string, label = '<file>'): Promise<ConfigurationDocument> {
	const input = await readJsonFile(path, label);
	return convertConfigurationErrors(path, () => parseDocument(input));
}
