import {type InstanceId, type ServiceId, type VersionId} from '@valehitch/core';
import {type RouteId} from '../configuration/routing-configuration.js';
import {type WaitTable} from './wait-table.js';

/** The counters of one entry instance for one version on one route since the instance started; they only increase. */
export type VersionEvidence = {
	readonly entry: InstanceId;
	/** Identifies the run of the entry instance. */
	readonly run: string;
	readonly service: ServiceId;
	readonly version: VersionId;
	readonly route: RouteId;
	/** The model that answered; empty for a service without models. */
	readonly model: string;
	readonly answers: number;
	readonly failures: number;
	/** The sum of the times to the first byte of successful answers, in milliseconds. */
	readonly latencySum: number;
	/** The number of answers that have started, including streams in progress; absent from earlier instances, which time only the answers that have ended. */
	readonly started?: number;
	/** The sum of the times to the first byte of these answers, in milliseconds. */
	readonly startSum?: number;
	/** How long sends waited for their answers to begin, including those that still wait; absent from earlier instances. */
	readonly waits?: WaitTable;
};

/**
Returns the key that identifies a counter.

@param evidence The counter.
@returns The key, which does not depend on the counted values.
@example
```ts
evidenceKey(counter);
```
*/
export function evidenceKey({entry, run, service, version, route, model}: VersionEvidence): string {
	return [entry, run, service, version, route, model].join(' ');
}
