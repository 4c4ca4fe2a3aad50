import {type InstanceId} from '@valehitch/core';
import {type ServiceLinks} from './service-links.js';

/** Options of {@linkcode RequestPath}. */
export type RequestPathOptions<Relay extends RelayInstance> = {
	readonly links: Pick<ServiceLinks, 'isCutOff'>;
	/** Chooses a relay among those that have not failed for the request. */
	readonly relays: {readonly choose: (excluded: ReadonlySet<InstanceId>) => Relay | undefined};
	/** The failed connections of a request after which a relay is tried even if the instance does not know yet whether it is cut off; 2 by default. A request to the only server of a service tries one after the first. */
	readonly directFailures?: number;
};

/** Options of {@linkcode RequestPath.next}. */
export type NextPathOptions = {
	/** Whether the request has no other server to try; false by default. */
	readonly isOnlyServer?: boolean;
};

/** An instance that opens connections for others. */
export type RelayInstance = {readonly instance: InstanceId};

/** How the next send of a request reaches its server: by this instance's own links, through a relay, or not at all. */
export type Path<Relay extends RelayInstance>
	= | {readonly type: 'direct'}
		| {readonly type: 'relayed'; readonly relay: Relay}
		| {readonly type: 'none'};

/** The relays that one request asks. Each may take some hundred milliseconds to fail. */
const maximumRelays = 4;

/**
Chooses how the sends of one request reach backend servers. It answers the load of an instance whose own links have failed.

@example
```ts
const path = new RequestPath({links, relays});
path.next(0); // {type: 'direct'}
```
*/
export class RequestPath<Relay extends RelayInstance> {
	readonly #options: RequestPathOptions<Relay>;
	readonly #failedRelays = new Set<InstanceId>();

	constructor(options: RequestPathOptions<Relay>) {
		this.#options = options;
	}

	/** The number of relays that could not be used. */
	get failedRelays(): number {
		return this.#failedRelays.size;
	}

	/**
	Chooses the path of the next send.

	@param connectionFailures How many connections of the request have failed.
	@param options What other servers there are.
	@returns The path.
	*/
	next(connectionFailures: number, {isOnlyServer = false}: NextPathOptions = {}): Path<Relay> {
		const {links: {isCutOff}, relays, directFailures = 2} = this.#options;
		if (!isCutOff && connectionFailures < (isOnlyServer ? 1 : directFailures)) {
			return {type: 'direct'};
		}

		const relay = this.#failedRelays.size < maximumRelays ? relays.choose(this.#failedRelays) : undefined;
		if (relay !== undefined) {
			return {type: 'relayed', relay};
		}

		// One attempt is made even if the instance is cut off, since an open connection may go on.
		return isCutOff && connectionFailures > 0 ? {type: 'none'} : {type: 'direct'};
	}

	/**
	Leaves out a relay that could not be used.

	@param relay The relay.
	*/
	exclude({instance}: Relay): void {
		this.#failedRelays.add(instance);
	}
}
