import {type ControlClient} from '../control/control-client.js';
import {type DaemonBase} from '../daemon-base.js';
import {type DistributionPart} from '../distribution/start-distribution.js';
import {type RatingsPart} from '../ratings/ratings-part.js';
import {BillOutbox} from './bill-outbox.js';
import {type EntryContext} from './entry-context.js';
import {RequestCounter} from './request-counter.js';

/** What the entry part is built on. */
export type StartEntryOptions = {
	readonly control: ControlClient;
	readonly distribution: DistributionPart;
	readonly ratings: RatingsPart;
};

const billRetryMilliseconds = 200;

/**
Builds the part of a daemon that serves callers.

@param base What every part works with.
@param options The parts it is built on.
@returns The context of the callers' handlers.
@example
```ts
const entry = startEntry(base, {control: control.client, distribution, ratings});
```
*/
export function startEntry(base: DaemonBase, {control, distribution, ratings}: StartEntryOptions): EntryContext {
	const {timeline} = base;
	return {
		...base,
		servers: distribution.servers,
		active: distribution.active,
		ratings,
		requests: new RequestCounter(),
		bills: new BillOutbox({propose: async command => control.propose(command), timeline, retryMilliseconds: billRetryMilliseconds}),
	};
}
