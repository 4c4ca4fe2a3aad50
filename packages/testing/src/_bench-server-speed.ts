import {quantileOf} from './_bench-tools.js';
import {
	allKnowing, atRandom, byExpectedTime, bySlots, bySpeedOfTwo,
} from './_speed-trial-rules.js';
import {playSpeedTrial, type TrialOptions, type TrialResult} from './_speed-trial.js';

type PictureOptions = Pick<TrialOptions, 'lostShare' | 'silentFrom' | 'pictures'>;

const seeds = [0, 101, 202];
const sizes = [84, 370];
const wavePeriodMilliseconds = 17_000;
const loads = {
	0.5: () => 0.5,
	0.95: () => 0.95,
	'0.4 to 1.2': (now: number) => 0.8 + (0.4 * Math.sin(2 * Math.PI * now / wavePeriodMilliseconds)),
} as const;
const rules = {
	'all-knowing': allKnowing, 'at random': atRandom, 'by slots': bySlots, 'speed, two': bySpeedOfTwo, 'expected time, three': byExpectedTime,
} as const;
const otherPictures: Readonly<Record<string, PictureOptions>> = {
	'a third of the reports lost': {lostShare: 1 / 3},
	'no reports for 3 s': {silentFrom: 12_000},
	'pictures 50 to 100 ms old': {pictures: {interval: 50, delay: 50}},
};
/** The work of small and of large prompts, in milliseconds. */
const smallWork = 60;
const largeWork = 800;

function summarize(results: readonly TrialResult[]): string {
	const answers = results.flatMap(result => result.answers);
	const waits = answers.map(({wait}) => wait);
	const p99Of = (values: readonly number[]): string => quantileOf(values, 0.99).toFixed(0);
	const extraOf = (isCounted: (work: number) => boolean): string => {
		const extras = answers.filter(({work}) => isCounted(work)).map(({work, wait}) => wait - work);
		return (extras.reduce((sum, extra) => sum + extra, 0) / extras.length).toFixed(0);
	};

	const bySpeed = [...results[0]!.waitBySpeed.keys()].toSorted((one, other) => one - other)
		.map(speed => (results.reduce((sum, {waitBySpeed}) => sum + waitBySpeed.get(speed)!, 0) / results.length).toFixed(0));
	return `p50 ${quantileOf(waits, 0.5).toFixed(0)}, p99 ${p99Of(waits)}; p99 small ${p99Of(answers.filter(({work}) => work < smallWork).map(({wait}) => wait))}, `
		+ `mean beyond own work small ${extraOf(work => work < smallWork)}, large ${extraOf(work => work > largeWork)}; mean wait at slow, fast servers ${bySpeed.join(', ')} ms`;
}

/**
Compares rules for the choice among 42 servers of different speeds, by the time to the first event.

@param seed The seed.
@returns The lines of the report.
*/
export function benchServerSpeed(seed: number): readonly string[] {
	const lines: string[] = [];
	const play = (name: string, options: Omit<TrialOptions, 'seed'>): void => {
		const results = seeds.map(offset => playSpeedTrial({...options, seed: seed + offset}));
		lines.push(`${options.instances} instances, ${name}: ${summarize(results)}`);
	};

	for (const instances of sizes) {
		for (const [load, loadAt] of Object.entries(loads)) {
			for (const [name, rule] of Object.entries(rules)) {
				play(`load ${load}, ${name}`, {instances, rule, loadAt});
			}
		}

		for (const [name, pictureOptions] of Object.entries(otherPictures)) {
			play(`load 0.95, expected time, ${name}`, {
				instances, rule: byExpectedTime, loadAt: loads[0.95], ...pictureOptions,
			});
		}
	}

	return lines;
}
