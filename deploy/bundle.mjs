// Bundles the program of the platform into one file, since resolving some hundred files at each start is slow on small instances.
import {readdirSync} from 'node:fs';
import {build} from 'esbuild';

const packages = readdirSync('packages');
const alias = Object.fromEntries(packages.map(name => [`@valehitch/${name}`, `./packages/${name}/src/mod.ts`]));

await build({
	entryPoints: ['packages/platform/src/bin/valehitch-platform.ts'],
	outfile: 'target/valehitch-platform.mjs',
	bundle: true,
	minify: true,
	keepNames: false,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	alias,
	// Optional parts of libraries that are not installed, and are looked for at run time.
	external: ['dtrace-provider', 'mv', 'source-map-support', 'moment', 'bufferutil', 'utf-8-validate', 'safe-json-stringify'],
	banner: {js: 'import {createRequire as __createRequire} from "node:module"; import {fileURLToPath as __toPath} from "node:url"; import {dirname as __dirnameOf} from "node:path"; const require = __createRequire(import.meta.url); const __filename = __toPath(import.meta.url); const __dirname = __dirnameOf(__filename);'},
	logLevel: 'warning',
});
