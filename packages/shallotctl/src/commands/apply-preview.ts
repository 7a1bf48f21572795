/**
 * `shallotctl apply-preview <file> --patch <file>`: shows what a patch would change, and warns for
 * each service whose usable slots the patch reduces below what its floor requires.
 */
import {findCapacityChanges, findFloorWarnings} from '@shallotpond/configuration/capacity-change';
import {applyPatch} from '@shallotpond/configuration/configuration-patch';
import {diffDocuments, formatDifferences} from '@shallotpond/configuration/document-diff';
import {type ConfigurationDocument} from '@shallotpond/configuration/document-schema';
import {type Command} from '../command.js';
import {convertConfigurationErrors, readDocument, readJsonFile} from '../document-files.js';
import {exitCodes} from '../shallotctl-error.js';
import {formatTable} from '../text-table.js';

function collectKeyDigests(document: ConfigurationDocument): Set<string> {
	return new Set(Object.values(document.workspaces).flatMap(({keyDigests}) => keyDigests));
}

function countKeyChanges(before: ConfigurationDocument, after: ConfigurationDocument) {
	const oldDigests = collectKeyDigests(before);
	const newDigests = collectKeyDigests(after);
	return {
		added: [...newDigests].filter(digest => !oldDigests.has(digest)).length,
		withdrawn: [...oldDigests].filter(digest => !newDigests.has(digest)).length,
	};
}

function createPreview(before: ConfigurationDocument, after: ConfigurationDocument) {
	const differences = diffDocuments(before, after);
	return {
		from: before.version,
		to: after.version,
		differences,
		routes: differences.filter(({area}) => area === 'route').length,
		keys: countKeyChanges(before, after),
		capacity: findCapacityChanges(before, after),
		warnings: findFloorWarnings(before, after),
	};
}

function formatPreview(preview: ReturnType<typeof createPreview>): string {
	const {from, to, differences, routes, keys, capacity, warnings} = preview;
	return [
		`version ${from} -> ${to}`,
		differences.length === 0 ? 'no differences' : formatDifferences(differences),
		'',
		`routes changed: ${routes}; keys added: ${keys.added}, withdrawn: ${keys.withdrawn}`,
		'',
		'slots in active failure domains:',
		formatTable(capacity),
		...warnings.map(
			({service, floorSlots, slotsBefore, slotsAfter}) =>
				`warning: service ${service} goes from ${slotsBefore} to ${slotsAfter} usable slots; its floor needs ${floorSlots}`,
		),
	].join('\n');
}

export const applyPreview: Command = {
	summary:
		'show what a patch would change; exit code 1 if a service would have fewer usable slots than its floor needs',
	operands: ['file'],
	settings: ['base', 'patch'],
	required: ['patch'],
	async run({operands, settings, terminal}) {
		const document = await readDocument(operands[0]!);
		const path = settings.patch!;
		const operations = await readJsonFile(path, '--patch');
		const base = settings.base ?? document.version;
		const next = convertConfigurationErrors(path, () =>
			applyPatch({document, base, patch: operations}),
		);
		const preview = createPreview(document, next);
		terminal.print(settings.json ? JSON.stringify(preview) : formatPreview(preview));
		return preview.warnings.length === 0 ? exitCodes.ok : exitCodes.refused;
	},
};
