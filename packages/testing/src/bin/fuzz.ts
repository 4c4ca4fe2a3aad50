#!/usr/bin/env node
import {spawn} from 'node:child_process';
import process from 'node:process';
import {parseArgs} from 'node:util';

/** Runs the fuzz tests with the given seed and number of schedules: `npm run fuzz -- --seed 7 --runs 20000`. */
const {values} = parseArgs({options: {seed: {type: 'string', default: '1'}, runs: {type: 'string', default: '2000'}}});
const child = spawn('npx', ['ava', '--timeout=60m', 'packages/consensus/dist/fuzz/*.test.js'], {
	stdio: 'inherit',
	env: {...process.env, VALEHITCH_FUZZ_SEED: values.seed, VALEHITCH_FUZZ_RUNS: values.runs},
});
child.on('exit', code => {
	process.exitCode = code ?? 1;
});
