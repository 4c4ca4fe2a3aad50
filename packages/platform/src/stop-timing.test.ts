import test from 'ava';
import {stopTiming} from './stop-timing.js';

/** The share of a grace period in which answers that are under way may still end. */
const usedShare = 5 / 6;

for (const gracePeriod of [500, 2000, 5000, 8000, 20_000]) {
	test(`requests in progress are not cut in the first five sixths of a grace period of ${gracePeriod} ms, and the process ends before it is killed`, t => {
		const {closeAfter, drainAfter} = stopTiming(gracePeriod);
		t.true(closeAfter >= usedShare * gracePeriod, `cut after ${closeAfter} ms`);
		t.true(closeAfter < gracePeriod);
		t.true(drainAfter > 0 && drainAfter <= closeAfter);
	});
}
