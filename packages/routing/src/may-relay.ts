import {type ServiceLinks} from './service-links.js';

/** What decides whether an instance opens a connection for another one. */
export type RelayConditions = {
	readonly isStopping: boolean;
	/** The links to the servers of the service to which the target belongs. */
	readonly links: Pick<ServiceLinks, 'isCutOff'>;
	/** The number of connections that are open through this instance. */
	readonly openTunnels: number;
};

/** The maximum number of connections to backend servers that other instances may have open through one. */
const maximumTunnels = 512;

/**
Checks whether an instance may open a connection to a known server for another one. It answers the load of instances whose own links have failed. It may not if it reaches no server of the service itself, so that no request takes two such steps. While that is only suspected, it tries.

@param conditions The state of the instance.
@returns Whether it may.
@example
```ts
mayRelay({isStopping: false, links, openTunnels: 3});
```
*/
export function mayRelay({isStopping, links, openTunnels}: RelayConditions): boolean {
	return !isStopping && !links.isCutOff && openTunnels < maximumTunnels;
}
