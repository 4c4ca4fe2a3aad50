import {type InstanceId} from '@valehitch/core';
import {type InForceAnswer} from '@valehitch/membership';
import {type DaemonBase} from '../daemon-base.js';

/**
Asks the control instances, the leader first, whether the newest revision is in force everywhere.

@param base What every part works with.
@param leader The leader, where it is known.
@returns The leader's answer; undefined where no instance leads or answers.
@example
```ts
const answer = await askInForce(base, leader);
```
*/
export async function askInForce({network, settings: {control, instance}}: DaemonBase, leader: InstanceId | undefined): Promise<InForceAnswer | undefined> {
	const asked = control
		.filter(seed => seed.instance !== instance)
		.toSorted((left, right) => Number(right.instance === leader) - Number(left.instance === leader));
	for (const seed of asked) {
		const reply = await network.request(seed, {scope: 'distribution', type: 'in-force'});
		const answer = reply.toMaybe().extractNullable();
		if (answer !== null && answer !== undefined) {
			return answer as InForceAnswer;
		}
	}

	return undefined;
}
