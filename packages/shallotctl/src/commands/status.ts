/**
 * `shallotctl status`: prints the state of one instance and its view of the fleet.
 */
import {readStatus} from '../admin-client.js';
import {type Command} from '../command.js';
import {exitCodes} from '../shallotctl-error.js';
import {formatTable} from '../text-table.js';

export const status: Command = {
	summary: 'show an instance and its members; exit code 1 if it is not ready',
	operands: [],
	settings: ['admin', 'timeout'],
	required: [],
	async run(context) {
		const {settings, terminal} = context;
		const instanceStatus = await readStatus(context);
		const {instance, version, ready, members} = instanceStatus;
		if (settings.json) {
			terminal.print(JSON.stringify(instanceStatus));
		} else {
			terminal.print(formatTable([{instance, version, ready}]));
			terminal.print(`\nmembers:\n${formatTable(members)}`);
		}

		return ready ? exitCodes.ok : exitCodes.refused;
	},
};
