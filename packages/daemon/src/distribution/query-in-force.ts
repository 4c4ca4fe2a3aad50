import {type InstanceId} from '@valehitch/core';
import {type InForceStatus} from '@valehitch/membership';
import {type DaemonBase} from '../daemon-base.js';

/**
Queries the other control instances, the leader first, whether the newest revision is in force on all instances.

@param base The dependencies that all components share.
@param leader The leader, if known.
@returns The answer of the leader, or undefined if there is no leader or it does not reply.
@example
```ts
const answer = await queryInForce(base, leader);
```
*/
export async function queryInForce({network, settings: {control, instance}}: DaemonBase, leader: InstanceId | undefined): Promise<InForceStatus | undefined> {
	const controlInstances = control
		.filter(seed => seed.instance !== instance)
		.toSorted((left, right) => Number(right.instance === leader) - Number(left.instance === leader));
	for (const seed of controlInstances) {
		const reply = await network.request(seed, {scope: 'distribution', type: 'in-force'});
		const answer = reply.toMaybe().extractNullable();
		if (answer !== null && answer !== undefined) {
			return answer as InForceStatus;
		}
	}

	return undefined;
}
