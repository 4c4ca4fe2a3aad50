import {type InstanceId, type ServiceId, type VersionId} from '@valehitch/core';
import {type RouteId} from '../configuration/routing-configuration.js';

/** What one entry instance saw of one version on one route since it started; counts only grow. */
export type VersionEvidence = {
	readonly entry: InstanceId;
	/** Names the run of the entry instance. */
	readonly run: string;
	readonly service: ServiceId;
	readonly version: VersionId;
	readonly route: RouteId;
	/** The model that answered; empty for a plain service. */
	readonly model: string;
	readonly answers: number;
	readonly failures: number;
	/** The sum of the times to the first byte of good answers, in milliseconds. */
	readonly latencySum: number;
};

/**
Names what a counter counts.

@param evidence The counter.
@returns A key that is the same for each state of the counter.
@example
```ts
evidenceKey(counter);
```
*/
export function evidenceKey({entry, run, service, version, route, model}: VersionEvidence): string {
	return [entry, run, service, version, route, model].join(' ');
}
