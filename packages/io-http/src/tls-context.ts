/**
 * TLS certificate and key for callers, read from files. They can be reloaded; open connections keep
 * the certificate with which they were established.
 */
import {readFile} from 'node:fs/promises';
import {createSecureContext, type SecureContextOptions} from 'node:tls';
import {HttpError} from './http-error.js';

export type TlsFiles = {
	/** Path of the certificate chain, PEM. */
	readonly certificate: string;
	/** Path of the private key, PEM. */
	readonly key: string;
};

export type TlsContext = {
	/** The options from the last successful read. */
	readonly current: SecureContextOptions;
	/**
	 * Reads the files again. If they cannot be read or do not belong together, throws `HttpError`
	 * with the code `invalid-certificate` and keeps the current options.
	 */
	reload(): Promise<void>;
	/** Calls back after each successful `reload`. */
	onReload(callback: (options: SecureContextOptions) => void): void;
};

async function readFiles(files: TlsFiles): Promise<SecureContextOptions> {
	try {
		const [cert, key] = await Promise.all([readFile(files.certificate), readFile(files.key)]);
		const options: SecureContextOptions = {cert, key, minVersion: 'TLSv1.2'};
		createSecureContext(options);
		return options;
	} catch (error) {
		throw new HttpError(
			'invalid-certificate',
			`cannot load the certificate "${files.certificate}" with the key "${files.key}"`,
			{cause: error},
		);
	}
}

/** Throws `HttpError` with the code `invalid-certificate`. */
export async function createTlsContext(files: TlsFiles): Promise<TlsContext> {
	const callbacks: Array<(options: SecureContextOptions) => void> = [];
	let current = await readFiles(files);
	return {
		get current() {
			return current;
		},
		async reload() {
			current = await readFiles(files);
			for (const callback of callbacks) {
				callback(current);
			}
		},
		onReload(callback) {
			callbacks.push(callback);
		},
	};
}
