/** A current configuration whose document never changes and always counts as the newest. */
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {createLookupTables} from '@shallotpond/configuration/lookup-tables';
import {type CurrentConfiguration} from '../current-configuration.js';

export function createFixedConfiguration(document: ConfigurationDocument): CurrentConfiguration {
	return {
		tables: createLookupTables(document),
		version: document.version,
		adopt: () => undefined,
		confirm: () => undefined,
		confirmedAgo: () => 0,
		coldTimeOf: service => document.services[service]?.coldTime ?? 0,
		isUncertain: () => false,
	};
}
