import {type VersionId} from '@valehitch/core';
import {compareTimes, tallyVersions} from './_version-tallies.js';
import {type VersionEvidence} from './version-evidence.js';

/**
Returns how many times as long as the old version the new one takes to the first byte, over all routes and models.

@param target The new version.
@param evidence The counters of all entry instances for the service.
@returns The ratio; `undefined` if no times can be compared.
@example
```ts
latencyRatio('v2' as VersionId, evidence);
```
*/
export function latencyRatio(target: VersionId, evidence: readonly VersionEvidence[]): number | undefined {
	const {baseline, candidate} = tallyVersions(target, evidence);
	const {observed, expected} = compareTimes(candidate, baseline);
	return expected === 0 ? undefined : observed / expected;
}
