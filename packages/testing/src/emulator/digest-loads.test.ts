import test from 'ava';
import {seededRandom} from '../_seeded-random.js';
import {type LoadResult, sumResults} from './load-result.js';
import {type LoadScenario} from './load-scenario.js';
import {productPolicy} from './policies.js';
import {simulateLoad} from './simulate-load.js';
import {type SimulationPolicy} from './simulation-policy.js';

const seeds = [1, 2];
const outage = {from: 1500, to: 4500};

/** A pool of 42 servers of one speed that spend about 0.95 of their time on prompts. */
const scenario: Omit<LoadScenario, 'entries'> = {
	zones: 1,
	engines: 42,
	engineParameters: {
		slots: 64, queueLimit: 64, cacheTokens: 500_000, prefillTokensPerMillisecond: 11, stepMilliseconds: 3, prefillChunkTokens: 512,
	},
	models: [{id: 'only', slowdownFactor: 1, capability: 1}],
	kinds: [
		{
			name: 'summaries', weight: 30, sharedTokens: 0, meanUniqueTokens: 2400, outputTokens: 60, distinctPrefixes: 1, targetLatency: 4000,
		},
		{
			name: 'queries', weight: 20, sharedTokens: 0, meanUniqueTokens: 800, outputTokens: 200, distinctPrefixes: 1, targetLatency: 1500,
		},
		{
			name: 'tags', weight: 50, sharedTokens: 0, meanUniqueTokens: 400, outputTokens: 20, distinctPrefixes: 1, targetLatency: 2000,
		},
	],
	requestsPerSecond: 400,
	durationMilliseconds: 6000,
	interZoneLatency: 1,
	faults: [],
};

type Outcome = LoadResult & {
	/** The 99th percentile of the time to the first token, in milliseconds. */
	readonly p99: number;
};

function simulate(entries: number, variant: Pick<SimulationPolicy, 'knownLoads' | 'digestLossRate' | 'digestOutage'>): Outcome {
	const times: number[] = [];
	const results = seeds.map(seed => simulateLoad({...scenario, entries}, {
		policy: {
			...productPolicy, chooseAffinityScope: undefined, escalates: false, ...variant,
		},
		loadRandom: seededRandom(seed),
		decisionRandom: seededRandom(1000 + seed),
		onResponse(milliseconds) {
			times.push(milliseconds);
		},
	}));
	return {...sumResults(results), p99: Math.round(times.toSorted((one, other) => one - other)[Math.floor(0.99 * times.length)]!)};
}

for (const entries of [84, 370]) {
	test(`with ${entries} entry instances, fewer responses are late by the digest than by the loads of six peers or none`, t => {
		const outcomes = {
			none: simulate(entries, {knownLoads: 'none'}),
			peers: simulate(entries, {knownLoads: 'near'}),
			digest: simulate(entries, {knownLoads: 'digest'}),
			lossy: simulate(entries, {knownLoads: 'digest', digestLossRate: 1 / 3}),
			outage: simulate(entries, {knownLoads: 'digest', digestOutage: outage}),
			all: simulate(entries, {knownLoads: 'all'}),
		};
		for (const [name, {late, requests, p99}] of Object.entries(outcomes)) {
			t.log(`${name}: ${(100 * late / requests).toFixed(2)} % late, p99 ${p99} ms`);
		}

		const {none, peers, digest, lossy, outage: withOutage} = outcomes;
		t.true(digest.late < peers.late && digest.late < none.late);
		t.true(digest.p99 < peers.p99 && digest.p99 < none.p99);
		t.true(lossy.late < none.late, 'also with a third of the messages lost');
		t.true(withOutage.late < none.late, 'also without any control instance for three seconds');
	});
}
