import {quantileOf} from './_bench-tools.js';
import {byChance, byFullKnowledge, byProduct} from './_uneven-trial-rules.js';
import {playUnevenTrial, type UnevenResult, type UnevenTrialOptions} from './_uneven-trial.js';

const wavePeriodMilliseconds = 14_000;
const loads: Readonly<Record<string, UnevenTrialOptions['loadAt']>> = {
	0.5: () => 0.5,
	0.95: () => 0.95,
	'0.4 to 1.2': now => 0.8 + (0.4 * Math.sin(2 * Math.PI * now / wavePeriodMilliseconds)),
};
const variants: Readonly<Record<string, Omit<UnevenTrialOptions, 'seed' | 'instances' | 'loadAt'>>> = {
	'all-knowing': {rule: byFullKnowledge},
	product: {rule: byProduct},
	'by chance': {rule: byChance},
	'product, a third of the messages lost': {rule: byProduct, lostShare: 1 / 3},
	'product, exact slowness': {rule: byProduct, exactSlowness: true},
	'product, no age': {rule: byProduct, noAge: true},
	'product, exact work': {rule: byProduct, exactWork: true},
	'product, exact slowness and work': {rule: byProduct, exactSlowness: true, exactWork: true},
	'product, exact slowness and work, no age': {
		rule: byProduct, exactSlowness: true, noAge: true, exactWork: true,
	},
};

/** Options of {@linkcode benchUneven}. */
export type BenchUnevenOptions = {
	/** The seeds; each is played. */
	readonly seeds: readonly number[];
	/** The numbers of entry instances; 84 and 370 by default. */
	readonly sizes?: readonly number[];
	/** The names of the variants; all by default. */
	readonly names?: readonly string[];
};

/**
Summarizes trials of the same variant.

@param results The trials.
@returns One line.
*/
function summarize(results: readonly UnevenResult[]): string {
	const waits = results.flatMap(result => result.waits);
	const speeds = [...results[0]!.backlogs.keys()].toSorted((one, other) => one - other);
	const backlogs = speeds.map(speed => sumOf(results.map(result => result.backlogs.get(speed)!)) / results.length);
	const again = 100 * sumOf(results.map(({tokensAgain}) => tokensAgain)) / sumOf(results.map(({sharedTokens}) => sharedTokens));
	return `p50 ${quantileOf(waits, 0.5).toFixed(0)}, p99 ${quantileOf(waits, 0.99).toFixed(0)} ms; `
		+ `mean backlog from slow to fast ${backlogs.map(backlog => backlog.toFixed(0)).join(', ')} ms; ${again.toFixed(1)} of 100 shared tokens again`;
}

/**
Compares choices of servers of unlike speed, and which of the errors of what entry instances believe costs most.

@param options The seeds and the sizes.
@returns The lines of the report.
*/
export async function * benchUneven({seeds, sizes = [84, 370], names = Object.keys(variants)}: BenchUnevenOptions): AsyncGenerator<string> {
	for (const instances of sizes) {
		for (const [load, loadAt] of Object.entries(loads)) {
			for (const [name, variant] of Object.entries(variants).filter(([key]) => names.includes(key))) {
				const results: UnevenResult[] = [];
				for (const seed of seeds) {
					results.push(await playUnevenTrial({
						...variant, instances, loadAt, seed,
					}));
				}

				yield `${instances} instances, load ${load}, ${name}: ${summarize(results)}`;
			}
		}
	}
}

function sumOf(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}
