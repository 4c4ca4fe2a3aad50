import {type ServiceLinks} from './service-links.js';

/** What decides whether an instance opens a connection for another one. */
export type RelayConditions = {
	readonly isStopping: boolean;
	/** The links to the servers of the service to which the target belongs. */
	readonly links: Pick<ServiceLinks, 'isCutOff'>;
	/** The number of connections that are open through this instance. */
	readonly openTunnels: number;
};

/** Why an instance opens no connection for another one: it stops, reaches no server of the service itself, or has as many such connections as it may. */
export type RelayRefusal = 'stopping' | 'cut-off' | 'too-many-tunnels';

/** The maximum number of connections to backend servers that other instances may have open through one. */
const maximumTunnels = 512;

/**
Finds why an instance may not open a connection to a known server for another one. It answers the load of instances whose own links have failed. It may not if it reaches no server of the service itself, so that no request takes two such steps. While that is only suspected, it tries.

@param conditions The state of the instance.
@returns Why it may not; undefined if it may.
@example
```ts
relayRefusal({isStopping: false, links, openTunnels: 3}); // undefined
```
*/
export function relayRefusal({isStopping, links, openTunnels}: RelayConditions): RelayRefusal | undefined {
	if (isStopping) {
		return 'stopping';
	}

	if (links.isCutOff) {
		return 'cut-off';
	}

	return openTunnels < maximumTunnels ? undefined : 'too-many-tunnels';
}
