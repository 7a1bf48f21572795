/**
 * Bundles the program of the platform into one file, which starts faster than many small ones and
 * needs nothing outside `target/`. Types are checked by `npm run typecheck`.
 */
import path from 'node:path';
import {build} from 'esbuild';

const packages = path.join(import.meta.dirname, '..', 'packages');

/** Packages of the workspace are bundled from their sources, so that no other build comes first. */
const workspaceSources = {
	name: 'workspace-sources',
	setup(bundle) {
		bundle.onResolve({filter: /^@shallotpond\//}, ({path: specifier}) => {
			const [, name, module] = /^@shallotpond\/([^/]+)\/(.+)$/.exec(specifier);
			return {path: path.join(packages, name, 'src', `${module}.ts`)};
		});
	},
};

await build({
	entryPoints: [path.join(packages, 'platform', 'src', 'main.ts')],
	outfile: path.join(import.meta.dirname, '..', 'target', 'shallotpond.cjs'),
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	minifySyntax: true,
	plugins: [workspaceSources],
	// Native decoding is optional in msgpackr; small messages do not need it.
	external: ['msgpackr-extract'],
	logLevel: 'warning',
});
