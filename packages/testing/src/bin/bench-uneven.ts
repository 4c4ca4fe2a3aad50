#!/usr/bin/env node
import process from 'node:process';
import {benchUneven} from '../_bench-uneven.js';

const [seeds = '20261204,20261305', sizes = '84,370', names] = process.argv.slice(2);
const numbersOf = (list: string): readonly number[] => list.split(',').map(Number);
process.stdout.write(`seeds ${seeds}, Node ${process.version}\n`);
for await (const line of benchUneven({seeds: numbersOf(seeds), sizes: numbersOf(sizes), ...(names !== undefined && {names: names.split(';')})})) {
	process.stdout.write(`${line}\n`);
}
