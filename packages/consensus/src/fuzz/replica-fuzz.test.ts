import process from 'node:process';
import test from 'ava';
import * as fc from 'fast-check';
import {operations} from './_operation.js';
import {World} from './_world.js';

const defaultSeed = 20_261;
const defaultRuns = 2000;
/** The tries to shorten a failing schedule. */
const maximumShrinks = 1000;
const seed = Number(process.env.VALEHITCH_FUZZ_SEED ?? defaultSeed);
const runs = Number(process.env.VALEHITCH_FUZZ_RUNS ?? defaultRuns);

test(`replicas agree under ${runs} schedules of faults, seed ${seed}`, t => {
	t.timeout(600_000, 'The schedules take their time on a busy machine');
	const proposed = {committed: 0, replicaSets: 0, elections: 0};
	let retries = 0;
	let hasFailed = false;
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), operations, (worldSeed, schedule) => {
		retries += hasFailed ? 1 : 0;
		if (retries > maximumShrinks) {
			return;
		}

		hasFailed = true;
		const world = new World(worldSeed);
		world.run(250);
		for (const operation of schedule) {
			world.perform(operation);
		}

		world.converge();
		hasFailed = retries > 0;
		proposed.committed += world.oracle.lastIndex;
		proposed.replicaSets += world.oracle.chosen.filter(({payload}) => payload.type === 'replica-set').length;
		proposed.elections += world.oracle.chosen.filter(({payload}) => payload.type === 'empty').length;
	}), {seed, numRuns: runs, includeErrorInReport: true});
	t.log(proposed);
	t.true(proposed.committed > runs, 'the schedules commit entries');
});
