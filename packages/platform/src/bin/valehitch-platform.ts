#!/usr/bin/env node
import process from 'node:process';

/** Nothing can be reloaded yet, and without a listener the signal would end the process. */
function ignoreSignal(): void {
	// The program has its own listener once it is loaded.
}

process.on('SIGHUP', ignoreSignal);
// Loaded after the listener is there, since loading takes far longer than all before it.
const {runProgram} = await import('../run-program.js');

await runProgram();
