/**
 * `shallotctl targets`: lists the targets as one instance sees them.
 */
import {readStatus} from '../admin-client.js';
import {type Command} from '../command.js';
import {exitCodes} from '../shallotctl-error.js';
import {formatTable} from '../text-table.js';

export const targets: Command = {
	summary: 'list the targets as an instance sees them',
	operands: [],
	settings: ['admin', 'timeout'],
	required: [],
	async run(context) {
		const {targets: rows} = await readStatus(context);
		context.terminal.print(context.settings.json ? JSON.stringify(rows) : formatTable(rows));
		return exitCodes.ok;
	},
};
