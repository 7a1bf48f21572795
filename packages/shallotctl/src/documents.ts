/**
 * Reads documents and patches from files.
 */
import {readFile} from 'node:fs/promises';
import {ConfigurationError} from '@shallotpond/configuration/configuration-error';
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {parseDocument} from '@shallotpond/configuration/parse-document';
import {ShallotctlError} from './shallotctl-error.js';

/** Throws a `ShallotctlError`: `usage` when it cannot be read, `refused` when it is not JSON. */
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
		// The parser's message quotes the text around the fault, which may hold a key digest.
		throw new ShallotctlError('refused', [`${path}: is not JSON`], {cause: error});
	}
}

/** Runs a function of the configuration layer and converts its errors to `refused`. */
export function convertConfigurationErrors<Result>(place: string, action: () => Result): Result {
	try {
		return action();
	} catch (error) {
		if (error instanceof ConfigurationError) {
			const problems = error.problems.map(problem => `${place}: ${problem}`);
			throw new ShallotctlError('refused', problems, {cause: error});
		}

		throw error;
	}
}

/** Throws a `ShallotctlError` that names every problem of the document. */
export async function readDocument(path: string): Promise<ConfigurationDocument> {
	const input = await readJsonFile(path, '<file>');
	return convertConfigurationErrors(path, () => parseDocument(input));
}
