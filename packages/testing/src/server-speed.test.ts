import test from 'ava';
import {quantileOf} from './_bench-tools.js';
import {atRandom, byExpectedTime, bySlots} from './_speed-trial-rules.js';
import {playSpeedTrial, type TrialOptions, type TrialResult} from './_speed-trial.js';

function play(options: Omit<TrialOptions, 'seed' | 'instances' | 'milliseconds'>, instances = 84): TrialResult {
	return playSpeedTrial({
		...options, instances, seed: 20_261_204, milliseconds: 20_000,
	});
}

function p99Of({answers}: TrialResult): number {
	return quantileOf(answers.map(({wait}) => wait), 0.99);
}

/** Returns the longest over the shortest mean wait of the kinds of servers. */
function unevenness({waitBySpeed}: TrialResult): number {
	const waits = [...waitBySpeed.values()];
	return Math.max(...waits) / Math.min(...waits);
}

const loads = {
	'load 0.5': () => 0.5,
	'load 0.95': () => 0.95,
	'a wave between 0.4 and 1.2': (now: number) => 0.8 + (0.4 * Math.sin(2 * Math.PI * now / 17_000)),
} as const;

const loadAt = loads['load 0.95'];
const expectedAtHighLoad = play({rule: byExpectedTime, loadAt});
const slotsAtHighLoad = play({rule: bySlots, loadAt});

for (const [name, loadOfTest] of Object.entries(loads)) {
	test(`servers of different speeds answer sooner by expected time than by slots, and three times sooner than by chance: ${name}`, t => {
		const isHighLoad = loadOfTest === loadAt;
		const expected = p99Of(isHighLoad ? expectedAtHighLoad : play({rule: byExpectedTime, loadAt: loadOfTest}));
		const slots = p99Of(isHighLoad ? slotsAtHighLoad : play({rule: bySlots, loadAt: loadOfTest}));
		const random = p99Of(play({rule: atRandom, loadAt: loadOfTest}));
		t.true(expected < slots && 3 * expected < random, `${expected}, ${slots}, ${random}`);
	});
}

test('with 370 instances the choice by expected time is still better than that by slots', t => {
	t.true(p99Of(play({rule: byExpectedTime, loadAt}, 370)) < p99Of(play({rule: bySlots, loadAt}, 370)));
});

test('lost reports and three seconds without any leave the choice better than that by slots', t => {
	const slots = p99Of(slotsAtHighLoad);
	const lost = p99Of(play({rule: byExpectedTime, loadAt, lostShare: 1 / 3}));
	const silent = p99Of(play({rule: byExpectedTime, loadAt, silentFrom: 12_000}));
	t.true(lost < slots && silent < slots, `${lost}, ${silent}, ${slots}`);
});

test('work waits as long at slow servers as at fast ones', t => {
	const [expected, slots] = [unevenness(expectedAtHighLoad), unevenness(slotsAtHighLoad)];
	t.true(expected < 1.5 && slots > 1.5, `${expected}, ${slots}`);
});

test('large prompts do not starve', t => {
	const {answers} = expectedAtHighLoad;
	const meanDelay = (isCounted: (work: number) => boolean): number => {
		const delays = answers.filter(({work}) => isCounted(work)).map(({work, wait}) => wait - work);
		return delays.reduce((sum, delay) => sum + delay, 0) / delays.length;
	};

	t.true(meanDelay(work => work > 800) < 1.5 * meanDelay(work => work < 60));
});
