import {type RelayConditions, relayRefusal} from './relay-refusal.js';

/**
Checks whether an instance may open a connection to a known server for another one.

@param conditions The state of the instance.
@returns Whether it may.
@example
```ts
mayRelay({isStopping: false, links, openTunnels: 3});
```
*/
export function mayRelay(conditions: RelayConditions): boolean {
	return relayRefusal(conditions) === undefined;
}
