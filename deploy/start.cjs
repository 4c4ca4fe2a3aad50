// Starts the bundled program with the code that the engine compiled for it at the build; `--write-cache` writes that code instead of staying.
'use strict';

const process = require('node:process');

// Without a listener, a signal ends the process while the program is loaded.
const arrived = [];
const listener = {
	handle(signal) {
		arrived.push(signal);
	},
};

for (const signal of ['SIGHUP', 'SIGTERM']) {
	process.on(signal, () => {
		listener.handle(signal);
	});
}

function handleSignals(handle) {
	listener.handle = handle;
	for (const signal of arrived) {
		handle(signal);
	}
}

const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const {Script} = require('node:vm');

const bundle = path.join(__dirname, '../target/valehitch-platform.cjs');
const cache = path.join(__dirname, '../target/valehitch-platform.cache');
/** Long enough for a start and the first questions of an instance to its seeds. */
const warmMilliseconds = 1000;
const script = new Script(`(function (exports, require, module, __filename, __dirname) {\n${readFileSync(bundle, 'utf8')}\n})`, {
	filename: bundle,
	// Positions in a profile are those in the bundle.
	lineOffset: -1,
	cachedData: existsSync(cache) ? readFileSync(cache) : undefined,
});
if (script.cachedDataRejected) {
	process.stderr.write(`Got compiled code in ${cache} that this engine does not take; the start compiles anew\n`);
}

if (process.argv.includes('--write-cache')) {
	process.argv = process.argv.filter(argument => argument !== '--write-cache');
	setTimeout(() => {
		writeFileSync(cache, script.createCachedData());
		process.exit(0);
	}, warmMilliseconds);
}

script.runInThisContext()(exports, require, module, bundle, path.dirname(bundle));
void module.exports.runProgram({handleSignals, exit: code => process.exit(code)});
