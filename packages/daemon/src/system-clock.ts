import {performance} from 'node:perf_hooks';
import {type Clock} from '@valehitch/core';

/** The wall clock and the monotonic clock of the operating system. */
export const systemClock: Clock = {
	now: () => new Date(),
	monotonic: () => performance.now(),
};
