import test from 'ava';
import {quantileOf} from './_bench-tools.js';
import {byChance, byProduct} from './_uneven-trial-rules.js';
import {playUnevenTrial, type UnevenResult, type UnevenRule} from './_uneven-trial.js';

/** How much longer work may wait at slow servers than at fast ones. */
const maximumUnevenness = 2;
/** The share of the tokens of shared parts that may be processed again at half of the load. */
const maximumAgain = 0.1;

async function play(load: number, rule: UnevenRule): Promise<UnevenResult> {
	return playUnevenTrial({
		seed: 20_261_204, instances: 84, rule, loadAt: () => load, milliseconds: 16_000,
	});
}

function p99Of({waits}: UnevenResult): number {
	return quantileOf(waits, 0.99);
}

/** Returns the mean backlog of the slowest servers over that of the fastest. */
function unevennessOf({backlogs}: UnevenResult): number {
	const speeds = [...backlogs.keys()];
	return backlogs.get(Math.min(...speeds))! / backlogs.get(Math.max(...speeds))!;
}

test('servers of three speeds answer three times sooner than by chance at half of the load, and read few shared parts again', async t => {
	const [product, chance] = [await play(0.5, byProduct), await play(0.5, byChance)];
	t.true(3 * p99Of(product) < p99Of(chance), `${p99Of(product)}, ${p99Of(chance)} ms`);
	t.true(product.tokensAgain <= maximumAgain * product.sharedTokens, `${product.tokensAgain} of ${product.sharedTokens}`);
});

test('work waits at slow servers at most twice as long as at fast ones at 0.95 of the load', async t => {
	const unevenness = unevennessOf(await play(0.95, byProduct));
	t.true(unevenness <= maximumUnevenness, `${unevenness}`);
});
