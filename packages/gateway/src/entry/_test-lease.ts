import {ConfigurationLease, type ConfigurationLeaseOptions} from './configuration-lease.js';

/** Creates a lease for tests; by default the machine was never suspended. */
export function testLease(changes: Partial<ConfigurationLeaseOptions> = {}): ConfigurationLease {
	return new ConfigurationLease({
		duration: 4500,
		finalRefusalDuration: 1500,
		suspension: {lastWake: () => Number.NEGATIVE_INFINITY},
		onSuspension() {
			// There is no control instance to ask.
		},
		...changes,
	});
}
