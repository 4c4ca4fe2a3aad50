import {
	probeAddress, type Relay, type ResponseEnd, type ServerRelays,
} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';
import {type CheckServerIdentityOptions, type ServerIdentity} from './check-server-identity.js';
import {type EntryServers} from './entry-servers.js';

/** Options of {@linkcode isServerRunning}. */
export type IsServerRunningOptions = ResponseEnd & {
	readonly servers: Pick<EntryServers, 'processStateOf'>;
	/** The instances that can confirm what the links of this one show. */
	readonly relays: Pick<ServerRelays, 'choose'>;
	/** The instance through which the server was reached; undefined for this instance's own links. */
	readonly relay: Pick<Relay, 'probe' | 'singleUse'> | undefined;
	/** Asks the process at the address of the server whether it is that server. */
	readonly identify: (relay: CheckServerIdentityOptions['relay']) => Promise<ServerIdentity>;
};

/** The timeout of the connection attempt, in milliseconds. A running machine accepts or refuses a connection within one round trip. */
const answerMilliseconds = 100;

/**
Checks whether the process of a server is still running after it closed a connection. It is assumed to be if its machine neither accepts nor refuses a new connection in time, as when its backlog is full.

If the connection may have been closed long ago, the process that accepts a new one must also say that it is that server.

Through a relay, the relay must still be running too, since it also closes the connection when it exits.

@param server The server.
@param options What is known about the server, and the way to it.
@returns Whether it is still running.
@example
```ts
const isRunning = await isServerRunning(server, {servers, relays, relay: undefined, mayBeLate: false, identify});
```
*/
export async function isServerRunning(server: ServerRecord, {servers, relays, relay, mayBeLate, identify}: IsServerRunningOptions): Promise<boolean> {
	if (servers.processStateOf(server) === 'replaced') {
		return false;
	}

	if (mayBeLate) {
		return isSameServer({relays, relay, identify});
	}

	const result = relay === undefined ? await probeAddress(server, answerMilliseconds) : await relay.probe(server);
	if (result === 'refused' && relay === undefined) {
		return await relays.choose(new Set())?.probe(server) === 'open';
	}

	return result === 'open' || result === 'unanswered';
}

/** Asks over the way that was used, and through another instance if this one's own links get no answer. */
async function isSameServer({relays, relay, identify}: Pick<IsServerRunningOptions, 'relays' | 'relay' | 'identify'>): Promise<boolean> {
	const identity = await identify(relay);
	if (identity !== 'unknown' || relay !== undefined) {
		return identity === 'same';
	}

	const other = relays.choose(new Set());
	return other !== undefined && await identify(other) === 'same';
}
