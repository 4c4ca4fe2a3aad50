import {ConfigurationLease, type ConfigurationLeaseOptions} from './configuration-lease.js';

/** A lease for tests, of a machine that was never suspended unless `changes` says so. */
export function testLease(changes: Partial<ConfigurationLeaseOptions> = {}): ConfigurationLease {
	return new ConfigurationLease({
		duration: 4500,
		suspension: {lastWake: () => Number.NEGATIVE_INFINITY},
		onDoubt() {
			// Nobody asks control.
		},
		...changes,
	});
}
