import test from 'ava';
import {type CrashSimulationOptions, simulateCrashes} from './_test-crash-simulation.js';
import {seededRandom} from './_test-random.js';

type Size = Pick<CrashSimulationOptions, 'instances' | 'servers' | 'requestsPerSecond'>;

const sizes: readonly Size[] = [
	{instances: 7, servers: 13, requestsPerSecond: 90},
	{instances: 64, servers: 100, requestsPerSecond: 600},
];
/** Number of exits after which a part counts as identified, and when all instances must know it, in milliseconds. */
const identifyingExits = 5;
const windowMilliseconds = 3000;
const allowedSends = 3;
/** The share of the innocent requests that may be refused while a crashing part is not known yet. */
const refusedShare = 0.001;

for (const size of sizes) {
	const deployment = `${size.instances} instances and ${size.servers} servers`;
	test(`with ${deployment}, servers that exit at random and a power failure blame no part`, async t => {
		for (const seed of [1, 2, 3]) {
			const random = seededRandom(seed);
			const result = await simulateCrashes({
				...size, random, duration: 20_000,
				exitsAt: time => time === 5000 ? Math.ceil(size.servers / 3) : Number(random() < 0.015),
			});
			t.true(result.crashes > 10);
			t.is(result.refusedInnocent, 0, `seed ${seed}`);
		}
	});

	for (const depth of [0, 1] as const) {
		for (const count of [1, 2]) {
			test(`with ${deployment}, ${count} crashing parts at position ${depth} of prompts are found, and hardly an innocent request is refused`, async t => {
				for (const seed of [1, 2, 3]) {
					const crashingParts = Array.from({length: count}, (_, index) => ({
						id: `bad ${index}`, depth, requestsPerSecond: 6, from: 2000,
					}));
					const result = await simulateCrashes({
						...size, random: seededRandom(seed), duration: 12_000, crashingParts,
					});
					for (const {sends, exits} of result.crashingParts) {
						const late = sends.filter(at => at > (exits[identifyingExits - 1] ?? Number.POSITIVE_INFINITY) + windowMilliseconds).length;
						t.true(late <= allowedSends, `seed ${seed}: ${late} late sends, ${exits.length} exits`);
					}

					t.true(result.refusedInnocent <= refusedShare * result.innocentRequests, `seed ${seed}: ${result.refusedInnocent} of ${result.innocentRequests} innocent requests refused`);
				}
			});
		}
	}
}
