import test from 'ava';
import {runSoak} from './run-soak.js';

/** Each has most kinds of faults in a few seconds; printed with what broke. */
const seeds = [1, 2];

for (const seed of seeds) {
	test.serial(`a short soak with seed ${seed} breaks no promise`, async t => {
		const {record, broken, faults} = await runSoak({seed, length: 6000});
		t.log(`seed ${seed}: ${faults.length} faults, ${record.requests.length} requests`);
		t.deepEqual(broken, []);
		t.true(record.requests.length > 0);
	});
}
