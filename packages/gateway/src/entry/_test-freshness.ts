import {type Clock} from '@valehitch/core';
import {type ConfigurationLease} from './configuration-lease.js';
import {StateFreshness, type StateFreshnessOptions} from './state-freshness.js';
import {testLease} from './_test-lease.js';

/** Creates a freshness for tests; by default every state is current. */
export function testFreshness(clock: Clock, {lease = testLease(), ...changes}: Partial<StateFreshnessOptions> & {readonly lease?: ConfigurationLease} = {}): StateFreshness {
	return new StateFreshness({
		clock,
		lease,
		suspension: {lastWake: () => Number.NEGATIVE_INFINITY},
		limits: {configuration: Number.POSITIVE_INFINITY, servers: Number.POSITIVE_INFINITY},
		confirmState() {
			// There is no control instance to ask.
		},
		async nextReply() {
			// No reply comes.
		},
		onStale() {
			// Nothing is asserted of it.
		},
		...changes,
	});
}
