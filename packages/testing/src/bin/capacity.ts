#!/usr/bin/env node
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {measureDaemons, measureRequests, measureServers} from '../capacity/experiments.js';
import {exitOnSignal} from '../exit-on-signal.js';
import {formatSeries, type Series} from '../capacity/series.js';

const experiments = {servers: measureServers, requests: measureRequests, members: measureDaemons} as const;

exitOnSignal();
const {values: flags} = parseArgs({
	options: {
		seconds: {type: 'string', default: '5'},
		only: {type: 'string', default: Object.keys(experiments).join(',')},
		sizes: {type: 'string', default: ''},
		folder: {type: 'string', default: 'capacity-output'},
	},
});
const sizes = flags.sizes === '' ? undefined : flags.sizes.split(',').map(Number);
const selectedNames = new Set(flags.only.split(','));
const allSeries: Series[] = [];
for (const [name, experiment] of Object.entries(experiments)) {
	if (selectedNames.has(name)) {
		const series = await experiment({
			seconds: Number(flags.seconds), reportProgress, ...(sizes && {sizes}),
		});
		allSeries.push(...series);
	}
}

for (const series of allSeries) {
	process.stdout.write(`${formatSeries(series)}\n`);
}

await mkdir(flags.folder, {recursive: true});
await writeFile(path.join(flags.folder, 'capacity.json'), `${JSON.stringify({node: process.version, series: allSeries}, undefined, '\t')}\n`);

function reportProgress(line: string): void {
	process.stderr.write(`${line}\n`);
}
