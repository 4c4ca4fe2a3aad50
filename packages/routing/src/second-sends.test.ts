import test from 'ava';
import {testProp, fc} from '@fast-check/ava';
import {
	latencyQuantile, type PlayedRequest, type SecondSendsPlay, type SecondSendsResult, sendsPerRequest, type ServerFault, simulateSecondSends,
} from './_test-second-sends.js';

type DrawTime = SecondSendsPlay['drawTime'];

/** Times of requests at a sound server, in milliseconds; the longest ones leave half of the time limit for their wait in a queue. */
const longest = 3000;
const mixes: ReadonlyArray<readonly [string, DrawTime]> = [
	['two peaks', random => random() < 0.2 ? 2500 : 20],
	['an exponential tail', random => Math.min(longest, -200 * Math.log(1 - random()))],
	['a heavy tail', random => Math.min(longest, 60 * ((1 - random()) ** (-1 / 1.3)))],
	['even times', random => 200 + (100 * random())],
];
const seeds = [21, 22, 23];
const slowSeeds = [21, 22, 23, 24, 25, 26];
const steady = [{milliseconds: 40_000, load: 0.4}];
const faultStart = 10_000;
const always = Number.MAX_SAFE_INTEGER;

function playAll(play: Omit<SecondSendsPlay, 'seed'>, chosen = seeds): readonly SecondSendsResult[] {
	return chosen.map(seed => simulateSecondSends({...play, seed}));
}

function requestsOf(results: readonly SecondSendsResult[]): readonly PlayedRequest[] {
	return results.flatMap(({requests}) => requests);
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function unanswered(requests: readonly PlayedRequest[]): number {
	return requests.filter(({latency}) => latency === undefined).length;
}

type DrawnMix = {
	readonly shape: string;
	readonly short: number;
	readonly long: number;
	readonly longShare: number;
	readonly tail: number;
};

/** Draws times with two peaks or a tail of some weight, up to half of the time limit. */
const drawnMixes = fc.record({
	shape: fc.constantFrom('peaks', 'tail', 'exponential'),
	short: fc.integer({min: 10, max: 400}),
	long: fc.integer({min: 400, max: longest}),
	longShare: fc.double({min: 0.01, max: 0.4, noNaN: true}),
	tail: fc.double({min: 1.1, max: 3, noNaN: true}),
});

function timesOf({shape, short, long, longShare, tail}: DrawnMix): DrawTime {
	if (shape === 'peaks') {
		return random => random() < longShare ? long : short;
	}

	return shape === 'tail'
		? random => Math.min(long, short * ((1 - random()) ** (-1 / tail)))
		: random => Math.min(long, -short * Math.log(1 - random()));
}

/** Loads that follow each other. */
const drawnLoads = fc.array(fc.double({min: 0.1, max: 0.65, noNaN: true}), {minLength: 1, maxLength: 4});

testProp('requests of sound servers are all answered, with at most 1.1 sends each', [drawnMixes, drawnLoads, fc.integer({min: 1, max: 1e6})], (t, mix, loads, seed) => {
	const phases = loads.map(load => ({milliseconds: 30_000 / loads.length, load}));
	const {requests} = simulateSecondSends({
		seed, rule: 'decision', phases, drawTime: timesOf(mix),
	});
	t.is(unanswered(requests), 0);
	const sends = sendsPerRequest(requests) * requests.length;
	// Each of the two instances may make two more, however few requests it gets.
	t.true(sends <= (1.1 * requests.length) + 4, `${Math.round(sends)} sends of ${requests.length} requests`);
}, {numRuns: 40, seed: 7801});

for (const long of [2500, 4500]) {
	test(`long documents of ${long} ms beside requests of 20 ms are answered by one send`, t => {
		const drawTime: DrawTime = random => random() < 0.2 ? long : 20;
		const requests = requestsOf(playAll({rule: 'decision', phases: steady, drawTime}));
		t.is(unanswered(requests), 0);
		t.true(sendsPerRequest(requests) <= 1.1, `${sendsPerRequest(requests)} sends`);
		// The rule of a fixed share of the time limit is the one that fails.
		t.true(unanswered(requestsOf(playAll({rule: 'fixed-share', phases: steady, drawTime}))) > 0);
	});
}

/** Faults of one of three servers, and the share of all requests that may go unanswered. */
const faults: ReadonlyArray<readonly [string, Partial<ServerFault>, number]> = [
	['loses three of ten requests', {lostShare: 0.3}, 0.002],
	// Those that are sent there before the first one is late exceed the allowance.
	['answers nothing but accepts connections', {lostShare: 1}, 0.005],
	['is dark', {isDark: true}, 0.002],
];

for (const [fault, change, unansweredShare] of faults) {
	for (const [mix, drawTime] of mixes) {
		test(`one server ${fault}, with ${mix}: the others' requests are no later than with a fixed share of the time limit`, t => {
			const play = {
				phases: steady, drawTime, faults: [{
					server: 0, from: faultStart, until: always, ...change,
				}],
			};
			const requests = requestsOf(playAll({...play, rule: 'decision'}));
			const former = requestsOf(playAll({...play, rule: 'fixed-share'}));
			const ofOthers = ({firstServer}: PlayedRequest): boolean => firstServer !== 0;
			const p99 = latencyQuantile(requests.filter(request => ofOthers(request)), 0.99);
			const formerP99 = latencyQuantile(former.filter(request => ofOthers(request)), 0.99);
			// Both rules place requests differently, so that single waits in queues differ.
			t.true(p99 <= 1.05 * formerP99, `${p99} > ${formerP99}`);
			t.true(unanswered(requests) <= unansweredShare * requests.length, `${unanswered(requests)} of ${requests.length} are not answered`);
			t.true(sendsPerRequest(requests) <= 1.1, `${sendsPerRequest(requests)} sends`);
		});
	}
}

for (const [mix, drawTime] of mixes) {
	test(`a server that stops for up to two seconds costs no request, with ${mix}`, t => {
		const stops = [0, 1, 2].map(server => ({
			server, from: faultStart * (1 + server), until: (faultStart * (1 + server)) + 1000 + (500 * server), speed: 0,
		}));
		t.is(unanswered(requestsOf(playAll({
			rule: 'decision', phases: steady, drawTime, faults: stops,
		}))), 0);
	});

	test(`a server four times as slow costs no more requests than without second sends, with ${mix}`, t => {
		const play = {
			phases: steady, drawTime, faults: [{
				server: 0, from: faultStart, until: always, speed: 0.25,
			}],
		};
		const requests = requestsOf(playAll({...play, rule: 'decision'}));
		t.true(unanswered(requests) <= unanswered(requestsOf(playAll({...play, rule: 'none'}))));
		t.true(sendsPerRequest(requests) <= 1.1, `${sendsPerRequest(requests)} sends`);
	});
}

/** All servers are three times as slow during this time, in milliseconds from the start. */
const slowFrom = 15_000;
const slowUntil = 25_000;
const sampleMilliseconds = 100;

/** Returns how long after the slow time the waiting work is back at its highest level of before, in milliseconds. */
function recoveryTime({waitingWork}: SecondSendsResult, {waitingWork: reference}: SecondSendsResult): number {
	const level = Math.max(...reference.slice(0, slowFrom / sampleMilliseconds));
	const back = waitingWork.findIndex((work, index) => index * sampleMilliseconds >= slowUntil && work <= level);
	return back === -1 ? Number.POSITIVE_INFINITY : (back * sampleMilliseconds) - slowUntil;
}

for (const load of [0.5, 0.6]) {
	for (const [mix, drawTime] of mixes) {
		test(`ten seconds in which all servers are three times as slow do not hold themselves up, at a load of ${load} with ${mix}`, t => {
			const play = {phases: [{milliseconds: 45_000, load}], drawTime, faults: [{from: slowFrom, until: slowUntil, speed: 1 / 3}]};
			const results = playAll({...play, rule: 'decision'}, slowSeeds);
			const withoutSecond = playAll({...play, rule: 'none'}, slowSeeds);
			const slowed = requestsOf(results).filter(({arrivedAt}) => arrivedAt >= slowFrom && arrivedAt < slowUntil + 5000);
			t.true(sendsPerRequest(slowed) < 1.3, `${sendsPerRequest(slowed)} sends`);
			const recoveries = results.map((result, index) => recoveryTime(result, withoutSecond[index]!));
			const references = withoutSecond.map(result => recoveryTime(result, result));
			// At 0.6, servers need more than five seconds for the work that has arrived, even if all is sent once.
			const limit = load < 0.6 ? 5000 : 1.25 * mean(references);
			t.true(mean(recoveries) <= limit, `${mean(recoveries)} > ${limit}`);
		});
	}
}
