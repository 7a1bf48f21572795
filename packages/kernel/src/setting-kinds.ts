/**
 * Factories for the kinds of settings that several binaries use.
 */
import {isIP} from 'node:net';
import {type Setting} from './settings.js';

type CommonOptions = {
	readonly description: string;
	readonly default?: string;
	readonly isRequired?: boolean;
};

/** An IP address and port to listen on or connect to. */
export type SocketAddress = {readonly host: string; readonly port: number};

const maxPort = 65_535;

/** Parses `ip:port`, with IPv6 as `[ip]:port`. Returns undefined if the text is not valid. */
export function parseSocketAddress(text: string): SocketAddress | undefined {
	const separator = text.lastIndexOf(':');
	const host = text.slice(0, Math.max(separator, 0)).replace(/^\[(.*)]$/, '$1');
	const portText = text.slice(separator + 1);
	const port = Number(portText);
	const isValid = isIP(host) !== 0 && /^\d+$/.test(portText) && port <= maxPort;
	return isValid ? {host, port} : undefined;
}

export function formatSocketAddress({host, port}: SocketAddress): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

export function addressSetting<Options extends CommonOptions>(options: Options) {
	return {
		placeholder: 'ip:port',
		allowed: 'an IP number and a port from 0 to 65535',
		parse: parseSocketAddress,
		...options,
	} as const satisfies Setting<SocketAddress>;
}

export function textSetting<Options extends CommonOptions>(options: Options) {
	return {
		placeholder: 'text',
		allowed: 'text that is not empty',
		parse: (text: string) => (text === '' ? undefined : text),
		...options,
	} as const satisfies Setting<string>;
}

export function choiceSetting<const Choice extends string, Options extends CommonOptions>(
	choices: readonly Choice[],
	options: Options,
) {
	return {
		placeholder: choices.join('|'),
		allowed: `one of ${choices.join(', ')}`,
		parse: (text: string) => choices.find(choice => choice === text),
		...options,
	} as const satisfies Setting<Choice>;
}

export function numberSetting<Options extends CommonOptions>(
	range: {readonly min: number; readonly max: number; readonly unit: string},
	options: Options,
) {
	const {min, max, unit} = range;
	return {
		placeholder: unit,
		allowed: `a number from ${min} to ${max}`,
		parse(text: string) {
			const value = Number(text);
			const isValid = text.trim() !== '' && value >= min && value <= max;
			return isValid ? value : undefined;
		},
		...options,
	} as const satisfies Setting<number>;
}

/** A comma-separated list of addresses, for example of seed peers. */
export function addressListSetting<Options extends CommonOptions>(options: Options) {
	return {
		placeholder: 'ip:port,…',
		allowed: 'IP numbers with ports, separated by commas',
		parse(text: string) {
			const addresses = text.split(',').map(part => parseSocketAddress(part.trim()));
			return addresses.includes(undefined) ? undefined : (addresses as SocketAddress[]);
		},
		...options,
	} as const satisfies Setting<readonly SocketAddress[]>;
}

export function urlSetting<Options extends CommonOptions>(options: Options) {
	return {
		placeholder: 'url',
		allowed: 'an http or https URL',
		parse(text: string) {
			const isUrl = /^https?:\/\//.test(text) && URL.canParse(text);
			return isUrl ? text : undefined;
		},
		...options,
	} as const satisfies Setting<string>;
}

/** A boolean setting. Its flag without a value means `true`. */
export function switchSetting(description: string) {
	return {
		description,
		allowed: 'true or false',
		parse: (text: string) => ({true: true, false: false})[text],
	} as const satisfies Setting<boolean>;
}
