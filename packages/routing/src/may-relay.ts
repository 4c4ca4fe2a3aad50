import {type ServerLinks} from './server-links.js';

/** What decides whether an instance opens a connection for another one. */
export type RelayConditions = {
	readonly isStopping: boolean;
	readonly links: Pick<ServerLinks, 'areConnected'>;
	/** The number of connections that are open through this instance. */
	readonly openTunnels: number;
	/** Checks whether the target is the address of a known server. */
	readonly isKnownServer: () => boolean;
};

/** The maximum number of connections to backend servers that other instances may have open through one. */
const maximumTunnels = 512;

/**
Checks whether an instance may open a connection to a server for another one. It answers the load of instances whose own links have failed. It may not if it reaches no server itself, so that no request takes two such steps.

@param conditions The instance and the target.
@returns Whether it may.
@example
```ts
mayRelay({isStopping: false, links, openTunnels: 3, isKnownServer: () => true});
```
*/
export function mayRelay({isStopping, links, openTunnels, isKnownServer}: RelayConditions): boolean {
	return !isStopping && links.areConnected && openTunnels < maximumTunnels && isKnownServer();
}
