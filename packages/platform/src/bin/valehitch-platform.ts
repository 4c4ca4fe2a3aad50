#!/usr/bin/env node
import process from 'node:process';

/** Ignores SIGHUP until there are settings to reload; without a listener, the signal would end the process. */
function ignoreSignal(): void {
	// The program adds its own listener once it is loaded.
}

process.on('SIGHUP', ignoreSignal);
// Imported only after the listener is installed, because loading the program takes a long time.
const {runProgram} = await import('../run-program.js');

await runProgram();
