import test from 'ava';
import {seededRandom} from '../_seeded-random.js';
import {customerProfiles} from './customer-profiles.js';
import {type SimulationPolicy} from './simulation-policy.js';
import {type CustomerProfile, drawScenario} from './load-scenario.js';
import {sumResults, type LoadResult} from './load-result.js';
import {simulateLoad} from './simulate-load.js';
import {productPolicy} from './policies.js';

const loads = 12;
const milliseconds = 8000;

/** Simulates several loads under a policy and returns the summed results. */
function simulateAll(profile: CustomerProfile, policy: SimulationPolicy): LoadResult {
	const results: LoadResult[] = [];
	for (let index = 1; index <= loads; index++) {
		const loadRandom = seededRandom(index);
		results.push(simulateLoad(drawScenario(profile, {random: loadRandom, milliseconds}), {policy, loadRandom, decisionRandom: seededRandom(1000 + index)}));
	}

	return sumResults(results);
}

function shareOf(count: number, {requests}: LoadResult): number {
	return Math.round(1000 * count / requests) / 10;
}

const {railcarLeasing} = customerProfiles;
const product = simulateAll(railcarLeasing, productPolicy);

test('the same random numbers give the same result, and every request has an outcome', t => {
	t.deepEqual(simulateAll(railcarLeasing, productPolicy), product);
	t.is(product.good + product.late + product.incorrect + product.failed, product.requests);
});

test('with repeating long prefixes, prompt affinity over all zones increases cache hits without more late responses', t => {
	// All loads are shared here, so that the test measures affinity alone; bench-decisions measures its cost with partial load knowledge.
	const withAllLoads: SimulationPolicy = {...productPolicy, knownLoads: 'all'};
	const withoutAffinity = simulateAll(railcarLeasing, {...withAllLoads, chooseAffinityScope: undefined});
	const withAffinity = simulateAll(railcarLeasing, {...withAllLoads, chooseAffinityScope: () => 'all'});
	t.log(`cached tokens: ${withoutAffinity.tokensCached} without affinity, ${withAffinity.tokensCached} with affinity over all zones`);
	t.log(`late: ${shareOf(withoutAffinity.late, withoutAffinity)} % and ${shareOf(withAffinity.late, withAffinity)} %`);
	t.true(withAffinity.tokensCached > 3 * withoutAffinity.tokensCached);
	t.true(withAffinity.late <= withoutAffinity.late);
});

test('with rarely repeating prefixes, fewer responses are late than with prompt affinity per zone', t => {
	const {coilTraceability} = customerProfiles;
	const withProductPolicy = simulateAll(coilTraceability, productPolicy);
	const withZoneAffinity = simulateAll(coilTraceability, {...productPolicy, chooseAffinityScope: () => 'zone'});
	t.log(`late: ${shareOf(withZoneAffinity.late, withZoneAffinity)} % with affinity per zone, ${shareOf(withProductPolicy.late, withProductPolicy)} % with the product policy`);
	t.log(`good: ${shareOf(withZoneAffinity.good, withZoneAffinity)} % and ${shareOf(withProductPolicy.good, withProductPolicy)} %`);
	t.true(withProductPolicy.late < withZoneAffinity.late);
});

test('fewer responses are late when entry instances share their loads', t => {
	const without = simulateAll(railcarLeasing, {...productPolicy, knownLoads: 'none'});
	t.log(`late: ${shareOf(without.late, without)} % without, ${shareOf(product.late, product)} % with`);
	t.true(product.late < without.late);
});

test('escalation to a larger model at least halves the incorrect responses', t => {
	const without = simulateAll(railcarLeasing, {...productPolicy, escalates: false});
	t.log(`incorrect: ${shareOf(without.incorrect, without)} % without, ${shareOf(product.incorrect, product)} % with`);
	t.true(product.incorrect < without.incorrect / 2);
});
