/**
 * `shallotctl drain`: requests a graceful shutdown of an instance.
 */
import {requestDrain} from '../admin-client.js';
import {type Command} from '../command.js';
import {exitCodes} from '../shallotctl-error.js';

export const drain: Command = {
	summary: 'request a graceful shutdown of an instance',
	operands: [],
	settings: ['admin', 'timeout'],
	required: [],
	async run(context) {
		const {settings, terminal} = context;
		await requestDrain(context);
		const {admin} = settings;
		terminal.print(settings.json ? JSON.stringify({admin, draining: true}) : `${admin}: draining`);
		return exitCodes.ok;
	},
};
