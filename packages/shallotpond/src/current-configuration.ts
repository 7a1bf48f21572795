/**
 * Holds the current configuration. A document is adopted only as a whole and only if its version is
 * higher than the current one. Requests in progress see the change the next time they read
 * `tables`.
 */
import {digestDocument} from '@shallotpond/configuration/document-digest';
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {createLookupTables, type LookupTables} from '@shallotpond/configuration/lookup-tables';

export type ConfigurationListener = (tables: LookupTables) => void;

export type CurrentConfiguration = {
	/** Undefined until the first document has been adopted. */
	readonly tables: LookupTables | undefined;
	/** 0 until the first document has been adopted. */
	readonly version: number;
	/** Empty until the first document has been adopted. */
	readonly digest: string;
	/**
	 * Adopts a document and calls the listeners. If its version is not higher than the current one,
	 * changes nothing and returns false.
	 */
	adopt(document: ConfigurationDocument): boolean;
	/** Registers a listener, called after each adoption in the order of registration. */
	onChange(listener: ConfigurationListener): void;
};

export function createCurrentConfiguration(): CurrentConfiguration {
	const listeners: ConfigurationListener[] = [];
	let tables: LookupTables | undefined;
	let digest = '';

	return {
		get tables() {
			return tables;
		},
		get version() {
			return tables?.document.version ?? 0;
		},
		get digest() {
			return digest;
		},
		adopt(document) {
			if (document.version <= (tables?.document.version ?? 0)) {
				return false;
			}

			tables = createLookupTables(document);
			digest = digestDocument(document);
			for (const listener of listeners) {
				listener(tables);
			}

			return true;
		},
		onChange(listener) {
			listeners.push(listener);
		},
	};
}
