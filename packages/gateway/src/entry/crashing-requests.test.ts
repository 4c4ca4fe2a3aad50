import test from 'ava';
import {simulateCrashes} from './_test-crash-simulation.js';
import {seededRandom} from './_test-random.js';

/** Number of exits after which a request counts as identified, and when all instances must know it, in milliseconds. */
const identifyingExits = 3;
const windowMilliseconds = 3000;
const allowedSends = 3;
/** The share of the innocent requests that may be refused. */
const refusedShare = 0.001;
const seeds = [1, 2, 3, 4, 5, 6];

test('with 7 instances and 13 servers, two requests that crash servers are found, and hardly an innocent request whose caller comes again is refused', async t => {
	let [innocent, refused] = [0, 0];
	for (const seed of seeds) {
		const result = await simulateCrashes({
			instances: 7,
			servers: 13,
			requestsPerSecond: 90,
			random: seededRandom(seed),
			duration: 12_000,
			answerDuration: 1000,
			callerAttempts: 3,
			crashingRequests: [
				{
					id: 'bad 0', parts: ['first 0', 'subject 3'], requestsPerSecond: 8, from: 2000,
				},
				{
					id: 'bad 1', parts: ['first 1', 'subject 5'], requestsPerSecond: 8, from: 5000,
				},
			],
		});
		innocent += result.innocentRequests;
		refused += result.refusedInnocent;
		for (const {sends, exits} of result.crashingRequests) {
			const late = sends.filter(at => at > (exits[identifyingExits - 1] ?? Number.POSITIVE_INFINITY) + windowMilliseconds).length;
			t.true(late <= allowedSends, `seed ${seed}: ${late} late sends, ${exits.length} exits`);
		}
	}

	t.true(refused <= refusedShare * innocent, `${refused} of ${innocent} innocent requests refused`);
});
