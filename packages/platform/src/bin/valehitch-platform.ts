#!/usr/bin/env node
import process from 'node:process';

const arrived: NodeJS.Signals[] = [];
const listener = {
	handle(signal: NodeJS.Signals): void {
		arrived.push(signal);
	},
};

for (const signal of ['SIGHUP', 'SIGTERM'] as const) {
	process.on(signal, () => {
		listener.handle(signal);
	});
}

function handleSignals(handle: (signal: NodeJS.Signals) => void): void {
	listener.handle = handle;
	for (const signal of arrived) {
		handle(signal);
	}
}

function exit(code: number): void {
	process.exit(code);
}

// Imported only after the listeners are installed, because loading the program takes a long time.
const {runProgram} = await import('../run-program.js');

await runProgram({handleSignals, exit});
