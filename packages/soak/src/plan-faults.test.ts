import {seededRandom} from '@valehitch/testing';
import test from 'ava';
import {planFaults} from './plan-faults.js';

test('a seed gives the same faults each time, in order, within the length, and no two wipes close together', t => {
	for (let seed = 1; seed <= 50; seed++) {
		const plan = () => planFaults({random: seededRandom(seed * 7919), length: 60_000, gap: 300});
		const faults = plan();
		t.deepEqual(faults, plan());
		t.deepEqual(faults, faults.toSorted((one, other) => one.at - other.at));
		t.true(faults.every(({at, pick}) => at < 60_000 && pick >= 0 && pick < 1));
		const wipes = faults.filter(({kind}) => kind === 'wipe').map(({at}) => at);
		t.true(wipes.every((at, index) => index === 0 || at - wipes[index - 1]! >= 12_000));
	}
});
