import {performance} from 'node:perf_hooks';
import {type Clock} from '@valehitch/core';

/** The machine's clocks. */
export const systemClock: Clock = {
	now: () => new Date(),
	monotonic: () => performance.now(),
};
