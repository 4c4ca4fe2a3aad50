import {type Clock} from '@valehitch/core';
import {type ConfigurationRelay} from '@valehitch/membership';
import {type Timeline} from '../timeline.js';

/** Options of a {@linkcode LeaseMonitor}. */
export type LeaseMonitorOptions = {
	readonly clock: Clock;
	readonly relay: ConfigurationRelay;
	readonly timeline: Timeline;
};

/**
Records in the timeline when this instance's configuration lease is lost and renewed.

@example
```ts
monitor.check();
```
*/
export class LeaseMonitor {
	readonly #options: LeaseMonitorOptions;
	#wasValid = false;

	constructor(options: LeaseMonitorOptions) {
		this.#options = options;
	}

	/** Checks the lease and records a change. */
	check(): void {
		const {clock, relay, timeline} = this.#options;
		const isValid = relay.isLeaseValid(clock.monotonic());
		if (isValid !== this.#wasValid) {
			this.#wasValid = isValid;
			timeline.record(isValid ? 'configuration-lease-renewed' : 'configuration-lease-lost', {revision: relay.revision});
		}
	}
}
