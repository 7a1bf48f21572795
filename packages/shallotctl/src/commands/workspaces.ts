/**
 * `shallotctl workspaces`: lists the workspaces as one instance sees them.
 */
import {readStatus} from '../admin-client.js';
import {type Command} from '../command.js';
import {exitCodes} from '../shallotctl-error.js';
import {formatTable} from '../text-table.js';

export const workspaces: Command = {
	summary: 'list the workspaces as an instance sees them',
	operands: [],
	settings: ['admin', 'timeout'],
	required: [],
	async run(context) {
		const {workspaces: rows} = await readStatus(context);
		context.terminal.print(context.settings.json ? JSON.stringify(rows) : formatTable(rows));
		return exitCodes.ok;
	},
};
