import {performance} from 'node:perf_hooks';
import {type ServerId, toId, type ZoneId} from '@valehitch/core';
import {
	chooseServer, prefixHash, PrefixFrequencies, type ServerView,
} from '@valehitch/routing';
import {sampleExponential, quantileOf} from './_bench-tools.js';
import {seededRandom} from './_seeded-random.js';

const capacity = 8;
const reportMilliseconds = 1000;
const meanServiceMilliseconds = 600;
const simulatedMilliseconds = 20_000;
const utilization = 0.75;
const prefixes = 400;
const cachedPrefixes = 20;
const target = 'tag-small@1.0';
const zone = toId<ZoneId>('a');
const loaded = new Set([target]);
const excluded = new Set<ServerId>();

type Engine = {
	readonly id: ServerId;
	active: number;
	reportedActive: number;
	reportedAt: number;
	readonly ownInFlight: number[];
	readonly ownAtReport: number[];
	readonly cache: Set<number>;
};

type Size = {
	readonly engines: number;
	readonly instances: number;
};

type Rule = {
	readonly samples: number;
	readonly affinity: boolean;
	readonly loadBound: number;
	readonly spread?: boolean;
	readonly reportDecayMilliseconds?: number;
};

function viewOf(engine: Engine, {instance, now}: {readonly instance: number; readonly now: number}): ServerView {
	return {
		id: engine.id,
		zone,
		capacity,
		reportedInFlight: engine.reportedActive,
		ownInFlightAtReport: engine.ownAtReport[instance] ?? 0,
		reportAge: now - engine.reportedAt,
		ownInFlight: engine.ownInFlight[instance] ?? 0,
		draining: false,
		expired: false,
		ejected: false,
		uptime: 60_000,
		loaded,
	};
}

function simulate({seed, engines, instances}: Size & {readonly seed: number}, {
	samples, affinity, loadBound, spread = true, reportDecayMilliseconds = 150,
}: Rule): string {
	const requestsPerSecond = utilization * engines * capacity / meanServiceMilliseconds * 1000;
	const random = seededRandom(seed);
	const allEngines: Engine[] = Array.from({length: engines}, (_, index) => ({
		id: toId<ServerId>(`engine-${index}`), active: 0, reportedActive: 0, reportedAt: 0,
		ownInFlight: Array.from({length: instances}, () => 0), ownAtReport: Array.from({length: instances}, () => 0), cache: new Set(),
	}));
	const ends: Array<{at: number; engine: Engine; instance: number}> = [];
	const frequencies = Array.from({length: instances}, () => new PrefixFrequencies());
	const loads: number[] = [];
	let hits = 0;
	for (let now = 0; now < simulatedMilliseconds; now += sampleExponential(1000 / requestsPerSecond, random)) {
		while (ends[0] !== undefined && ends[0].at <= now) {
			const {engine, instance} = ends.shift()!;
			engine.active--;
			engine.ownInFlight[instance] = engine.ownInFlight[instance]! - 1;
		}

		for (const engine of allEngines) {
			if (now - engine.reportedAt >= reportMilliseconds) {
				engine.reportedActive = engine.active;
				engine.reportedAt = now;
				engine.ownAtReport.splice(0, instances, ...engine.ownInFlight);
			}
		}

		const instance = Math.floor(random() * instances);
		const prefix = Math.floor(prefixes * (random() ** 3));
		const views = allEngines.map(engine => viewOf(engine, {instance, now}));
		const hash = prefixHash(`prompt ${prefix}`);
		const share = frequencies[instance]!.count(hash);
		const choice = chooseServer(views, {
			target, excluded, zone, random, sampleCount: samples, loadBound, reportDecayMilliseconds,
			...(affinity && {prefix: hash, prefixShare: spread ? share : 0}),
		});
		const id = choice.map(({server}) => server).toMaybe().extract();
		const engine = allEngines.find(candidate => candidate.id === id)!;
		engine.active++;
		engine.ownInFlight[instance] = engine.ownInFlight[instance]! + 1;
		loads.push(engine.active);
		hits += engine.cache.delete(prefix) ? 1 : 0;
		engine.cache.add(prefix);
		if (engine.cache.size > cachedPrefixes) {
			engine.cache.delete(engine.cache.values().next().value!);
		}

		const end = now + sampleExponential(meanServiceMilliseconds, random);
		const insertionIndex = ends.findIndex(({at}) => at > end);
		ends.splice(insertionIndex === -1 ? ends.length : insertionIndex, 0, {at: end, engine, instance});
	}

	const most = `requests at the chosen engine p50 ${quantileOf(loads, 0.5)}, p99 ${quantileOf(loads, 0.99)}, most ${Math.max(...loads)}`;
	const above = `above its ${capacity} slots ${(100 * loads.filter(load => load > capacity).length / loads.length).toFixed(1)} %`;
	return `${most}; ${above}; prefix cached ${Math.round(100 * hits / loads.length)} %`;
}

/**
Measures server choice: throughput, load distribution under delayed load reports, and the hit rate of the prefix cache.

@param seed The seed.
@returns The lines of the report.
@example
```ts
console.log(benchServerChoice(7).join('\n'));
```
*/
export function benchServerChoice(seed: number): string[] {
	const rules: ReadonlyArray<readonly [string, Rule]> = [
		['one at random', {samples: 1, affinity: false, loadBound: 1.25}],
		['best of 2', {samples: 2, affinity: false, loadBound: 1.25}],
		['best of 2, reports not taken', {
			samples: 2, affinity: false, loadBound: 1.25, reportDecayMilliseconds: 1,
		}],
		['best of 2, reports fade in 500 ms', {
			samples: 2, affinity: false, loadBound: 1.25, reportDecayMilliseconds: 500,
		}],
		['best of 2, reports taken as new', {
			samples: 2, affinity: false, loadBound: 1.25, reportDecayMilliseconds: 1e9,
		}],
		['best of 3', {samples: 3, affinity: false, loadBound: 1.25}],
		['best of all', {samples: 400, affinity: false, loadBound: 1.25}],
		['prefix, bound 1.25, one home', {
			samples: 2, affinity: true, loadBound: 1.25, spread: false,
		}],
		['prefix, bound 1.25', {samples: 2, affinity: true, loadBound: 1.25}],
		['prefix, bound 2', {samples: 2, affinity: true, loadBound: 2}],
		['prefix, no bound, one home', {
			samples: 2, affinity: true, loadBound: 1e9, spread: false,
		}],
	];
	const lines = [benchSpeed(seed)];
	for (const size of [{engines: 13, instances: 7}, {engines: 40, instances: 50}]) {
		for (const [name, rule] of rules) {
			lines.push(`server choice, ${size.instances} instances, ${size.engines} engines, ${name}: ${simulate({seed, ...size}, rule)}`);
		}
	}

	return lines;
}

function benchSpeed(seed: number): string {
	const random = seededRandom(seed);
	const views = Array.from({length: 600}, (_, index): ServerView => ({
		id: toId(`engine-${index}`),
		zone: toId(`zone-${index % 7}`),
		capacity,
		reportedInFlight: index % 9,
		ownInFlightAtReport: 0,
		reportAge: 500,
		ownInFlight: index % 3,
		draining: false,
		expired: false,
		ejected: false,
		uptime: 60_000,
		loaded: index % 15 === 0 ? loaded : new Set(),
	}));
	const rate = (prefix: boolean) => {
		const total = 20_000;
		const start = performance.now();
		for (let index = 0; index < total; index++) {
			chooseServer(views, {
				target, excluded, zone: toId('zone-0'), random, prefix: prefix ? prefixHash(`prompt ${index}`) : undefined,
			});
		}

		return Math.round(total / (performance.now() - start) * 1000);
	};

	return `server choice: ${rate(false)} choices/s, with a prefix ${rate(true)}, among 600 servers of which 40 have the version`;
}
