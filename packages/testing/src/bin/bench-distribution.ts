#!/usr/bin/env node
import process from 'node:process';
import {parseArgs} from 'node:util';
import {type DistributionMeasurements, measureDistribution} from '../_distribution-trial.js';

const {values} = parseArgs({options: {sizes: {type: 'string', default: '3,7,14,28'}, seconds: {type: 'string', default: '20'}}});
const results: DistributionMeasurements[] = [];
for (const size of values.sizes.split(',')) {
	results.push(await measureDistribution(Number(size), Number(values.seconds)));
}

process.stdout.write(`${JSON.stringify(results)}\n`);
const columns = ['daemons', 'engines', 'sent B/s', 'received B/s', 'largest B/s', 'frames/s', 'CPU %', 'largest CPU %', 'MB', 'held ms', 'in force ms'];
process.stdout.write(`${columns.map(column => column.padStart(13)).join('')}\n`);
for (const figures of results) {
	const cells = [
		figures.daemons,
		figures.engines,
		figures.meanSentBytes,
		figures.meanReceivedBytes,
		figures.largestBytes,
		figures.meanFrames,
		figures.meanCpu * 100,
		figures.largestCpu * 100,
		figures.meanResidentMegabytes,
		Math.max(...figures.heldMilliseconds),
		Math.max(...figures.inForceMilliseconds),
	];
	process.stdout.write(`${cells.map(cell => cell.toFixed(Number.isInteger(cell) ? 0 : 1).padStart(13)).join('')}\n`);
}
