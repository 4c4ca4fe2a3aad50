// Bundles the program of the platform into one file, and keeps the code that the engine compiled for it beside it, since resolving and compiling some hundred files at each start is slow on small instances.
import {execFileSync} from 'node:child_process';
import {mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';
import {locateModules} from './locate-modules.mjs';

const bundle = 'target/valehitch-platform.cjs';
const sourceMap = `${bundle}.map`;
const modules = 'target/valehitch-platform.modules.json';
const cache = 'target/valehitch-platform.cache';
const freePort = '127.0.0.1:0';
/** Optional parts of libraries that the program has no use for; they are looked for at run time, and found only in some checkouts. */
const optionalPackages = ['bufferutil', 'dtrace-provider', 'moment', 'msgpackr-extract', 'mv', 'safe-json-stringify', 'source-map-support', 'utf-8-validate'];

const leaveOut = {
	name: 'leave-out',
	setup({onResolve, onLoad}) {
		onResolve({filter: new RegExp(`^(?:${optionalPackages.join('|')})$`)}, ({path}) => ({path, namespace: 'left-out'}));
		onLoad({filter: /.*/, namespace: 'left-out'}, ({path}) => ({contents: `throw new Error('${path} is left out of the bundle');`, loader: 'js'}));
	},
};

/** Parts of libraries, and modules of the runtime that only they load, which the program does not use: it sends metrics to no gateway, forks no workers, and its links are neither compressed nor encrypted. Loading them takes a fifth of a start. */
const unusedFiles = /[\\/]prom-client[\\/]lib[\\/](?:cluster|defaultMetrics|pushgateway)\.js$/;
const unusedModules = /^(?:https|tls|zlib)$/;
const unusedModuleUser = /[\\/]node_modules[\\/]ws[\\/]/;

const leaveUnusedOut = {
	name: 'leave-unused-out',
	setup({onResolve, onLoad}) {
		onResolve({filter: unusedModules}, ({path, importer}) => unusedModuleUser.test(importer) ? {path, namespace: 'unused'} : undefined);
		onLoad({filter: /.*/, namespace: 'unused'}, () => ({contents: 'module.exports = {};', loader: 'js'}));
		onLoad({filter: unusedFiles}, () => ({contents: 'module.exports = class {};', loader: 'js'}));
	},
};

const packages = readdirSync('packages');
await build({
	stdin: {contents: 'export {runProgram} from \'./packages/platform/src/run-program.ts\';', resolveDir: process.cwd()},
	outfile: bundle,
	bundle: true,
	minify: true,
	sourcemap: 'external',
	sourcesContent: false,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	alias: Object.fromEntries(packages.map(name => [`@valehitch/${name}`, `./packages/${name}/src/mod.ts`])),
	plugins: [leaveOut, leaveUnusedOut],
	logLevel: 'warning',
});

writeFileSync(modules, JSON.stringify(locateModules(JSON.parse(readFileSync(sourceMap, 'utf8')))));
rmSync(sourceMap);

// Compiled code is taken only by an engine with the same flags, so the flags are those of the deploy file. The program runs for a moment with both roles on free ports, so that the code that a start needs is compiled too.
const folder = mkdtempSync(path.join(tmpdir(), 'valehitch-build-'));
const settings = path.join(folder, 'node.yaml');
writeFileSync(settings, JSON.stringify({
	node: 'build', ip: '127.0.0.1', zone: 'build', listen: {front: freePort, ready: freePort, control: freePort}, portRange: [0, 0], seeds: [freePort], bootstrap: true, dataDir: folder, heartbeatMs: 1200, bounds: {graceS: 8},
}));
rmSync(cache, {force: true});
const [, flags] = /run = "node (.*) deploy\/start\.cjs/v.exec(readFileSync('deploy/system.toml', 'utf8'));
execFileSync('node', [...flags.split(' '), 'deploy/start.cjs', '--write-cache'], {env: {...process.env, VALEHITCH_CONFIG: settings}, stdio: ['ignore', 'ignore', 'inherit']});
rmSync(folder, {recursive: true});
