/**
 * `shallotctl hash-key`: prints the digest of a key for use in the document. The key is read from
 * standard input, because arguments are visible in process lists and shell histories.
 */
import {digestKey} from '@shallotpond/configuration/key-digest';
import {type Command} from '../command.js';
import {exitCodes, ShallotctlError} from '../shallotctl-error.js';

/** Characters. */
const maxKeyLength = 4096;

export const hashKey: Command = {
	summary: 'print the digest of the key on standard input',
	operands: [],
	settings: [],
	required: [],
	isInputSecret: true,
	async run({settings, terminal}) {
		const input = await terminal.readInput();
		const key = new TextDecoder().decode(input).replace(/\r?\n$/, '');
		if (key.length > maxKeyLength || !/^[\u0021-\u007E]+$/.test(key)) {
			throw new ShallotctlError('usage', [
				`standard input: must be one key of 1 to ${maxKeyLength} visible ASCII characters`,
			]);
		}

		const digest = digestKey(key);
		terminal.print(settings.json ? JSON.stringify({digest}) : digest);
		return exitCodes.ok;
	},
};
