#!/usr/bin/env node
import process from 'node:process';
import {type IsolationCounts, measureIsolation} from '../_isolation-trial.js';

const results: IsolationCounts[] = [];
for (const serve of ['settled', 'all', 'none'] as const) {
	results.push(...await measureIsolation(serve));
}

process.stdout.write(`${JSON.stringify(results)}\n`);
for (const {serve, phase, settled, withdrawn, plainService} of results) {
	const cells = [settled, withdrawn, plainService].map(({served, refused}) => `${served} served, ${refused} refused`.padStart(24));
	process.stdout.write(`${serve.padEnd(8)}${phase.padEnd(18)}${cells.join('')}\n`);
}
