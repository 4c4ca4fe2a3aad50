import process from 'node:process';
import test from 'ava';
import * as fc from 'fast-check';
import {operations} from './_operation.js';
import {Simulation} from './_simulation.js';

const defaultSeed = 20_261;
const defaultRuns = 2000;
/** The maximum number of attempts to shrink a failing schedule. */
const maximumShrinks = 1000;
const seed = Number(process.env.VALEHITCH_FUZZ_SEED ?? defaultSeed);
const runs = Number(process.env.VALEHITCH_FUZZ_RUNS ?? defaultRuns);

test(`replicas agree under ${runs} schedules of faults, seed ${seed}`, t => {
	t.timeout(600_000, 'The schedules run slowly on a busy machine');
	const totals = {committed: 0, replicaSets: 0, elections: 0};
	let retries = 0;
	let hasFailed = false;
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), operations, (simulationSeed, schedule) => {
		retries += hasFailed ? 1 : 0;
		if (retries > maximumShrinks) {
			return;
		}

		hasFailed = true;
		const simulation = new Simulation(simulationSeed);
		simulation.run(250);
		for (const operation of schedule) {
			simulation.perform(operation);
		}

		simulation.converge();
		hasFailed = retries > 0;
		totals.committed += simulation.oracle.lastIndex;
		totals.replicaSets += simulation.oracle.committed.filter(({payload}) => payload.type === 'replica-set').length;
		totals.elections += simulation.oracle.committed.filter(({payload}) => payload.type === 'empty').length;
	}), {seed, numRuns: runs, includeErrorInReport: true});
	t.log(totals);
	t.true(totals.committed > runs, 'the schedules commit at least one entry each on average');
});
