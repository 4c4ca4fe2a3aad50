import {type Clock} from '@valehitch/core';
import {type ConfigurationRelay} from '@valehitch/membership';
import {type Timeline} from '../timeline.js';

/** What the watch needs. */
export type LeaseWatchOptions = {
	readonly clock: Clock;
	readonly relay: ConfigurationRelay;
	readonly timeline: Timeline;
};

/**
Records when the own lease is lost and renewed.

@example
```ts
watch.note();
```
*/
export class LeaseWatch {
	readonly #options: LeaseWatchOptions;
	#wasValid = false;

	constructor(options: LeaseWatchOptions) {
		this.#options = options;
	}

	/** Looks at the lease as it stands now. */
	note(): void {
		const {clock, relay, timeline} = this.#options;
		const isValid = relay.isLeaseValid(clock.monotonic());
		if (isValid !== this.#wasValid) {
			this.#wasValid = isValid;
			timeline.record(isValid ? 'configuration-lease-renewed' : 'configuration-lease-lost', {revision: relay.revision});
		}
	}
}
