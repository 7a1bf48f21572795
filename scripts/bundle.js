/**
 * Bundles the entry point of the platform package into one file, which starts faster than many small
 * modules and needs nothing outside `target/`. Types are checked by `npm run typecheck` instead.
 *
 * Usage: `node scripts/bundle.js`
 */
import path from 'node:path';
import {build} from 'esbuild';

const packages = path.join(import.meta.dirname, '..', 'packages');

/** Resolves the packages of this repository to their sources, so that none has to be built first. */
const repositorySources = {
	name: 'repository-sources',
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
	plugins: [repositorySources],
	// Optional native decoder of msgpackr, which small messages do not need.
	external: ['msgpackr-extract'],
	logLevel: 'warning',
});
