import {seededRandom} from '@valehitch/testing';
import test from 'ava';
import {planFaults} from './plan-faults.js';

test('a plan is reproducible from its seed, sorted, within the length, and keeps wipes apart', t => {
	for (let seed = 1; seed <= 50; seed++) {
		const plan = () => planFaults({random: seededRandom(seed * 7919), length: 60_000, gap: 300});
		const faults = plan();
		t.deepEqual(faults, plan());
		t.deepEqual(faults, faults.toSorted((left, right) => left.at - right.at));
		t.true(faults.every(({at, pick}) => at < 60_000 && pick >= 0 && pick < 1));
		const wipes = faults.filter(({kind}) => kind === 'wipe').map(({at}) => at);
		t.true(wipes.every((at, index) => index === 0 || at - wipes[index - 1]! >= 12_000));
	}
});
