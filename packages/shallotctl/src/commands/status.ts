/**
 * `shallotctl status`: state of one instance and its view of the fleet.
 */
import {readStatus} from '../admin-client.js';
import {type Command} from '../command.js';
import {exitCodes} from '../shallotctl-error.js';
import {formatTable} from '../text-table.js';

export const status: Command = {
	summary: 'show an instance and its members; exit code 1 when it is not ready',
	operands: [],
	settings: ['admin', 'timeout'],
	required: [],
	async run(context) {
		const {settings, terminal} = context;
		const state = await readStatus(context);
		const {instance, version, ready, members} = state;
		if (settings.json) {
			terminal.print(JSON.stringify(state));
		} else {
			terminal.print(formatTable([{instance, version, ready}]));
			terminal.print(`\nmembers:\n${formatTable(members)}`);
		}

		return ready ? exitCodes.ok : exitCodes.refused;
	},
};
