import {type Clock} from '@valehitch/core';
import {type ConfigurationRelay} from '@valehitch/membership';
import {type Timeline} from '../timeline.js';

/** Options of a {@linkcode LeaseMonitor}. */
export type LeaseWatchOptions = {
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
export class LeaseWatch {
	readonly #options: LeaseWatchOptions;
	#wasValid = false;

	constructor(options: LeaseWatchOptions) {
		this.#options = options;
	}

	/** Checks the lease and records a change. */
	note(): void {
		const {clock, relay, timeline} = this.#options;
		const isValid = relay.isLeaseValid(clock.monotonic());
		if (isValid !== this.#wasValid) {
			this.#wasValid = isValid;
			timeline.record(isValid ? 'configuration-lease-renewed' : 'configuration-lease-lost', {revision: relay.revision});
		}
	}
}
