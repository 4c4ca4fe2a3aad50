import {probeAddress, type Relay, type ServerRelays} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryServers} from './entry-servers.js';

/** Options of {@linkcode isServerRunning}. */
export type IsServerRunningOptions = {
	readonly servers: Pick<EntryServers, 'processStateOf'>;
	/** The instances that can confirm what the links of this one show. */
	readonly relays: Pick<ServerRelays, 'choose'>;
	/** The instance through which the server was reached; undefined for this instance's own links. */
	readonly relay: Pick<Relay, 'probe'> | undefined;
};

/** The timeout of the connection attempt, in milliseconds. A running machine accepts or refuses a connection within one round trip. */
const answerMilliseconds = 100;

/**
Checks whether the process of a server is still running after it closed a connection. It is assumed to be if its machine neither accepts nor refuses a new connection in time, as when its backlog is full.

Through a relay, the relay must still be running too, since it also closes the connection when it exits.

@param server The server.
@param options What is known about the server, and the way to it.
@returns Whether it is still running.
@example
```ts
const isRunning = await isServerRunning(server, {servers, relays, relay: undefined});
```
*/
export async function isServerRunning(server: ServerRecord, {servers, relays, relay}: IsServerRunningOptions): Promise<boolean> {
	if (servers.processStateOf(server) === 'replaced') {
		return false;
	}

	const result = relay === undefined ? await probeAddress(server, answerMilliseconds) : await relay.probe(server);
	if (result === 'refused' && relay === undefined) {
		return await relays.choose(new Set())?.probe(server) === 'open';
	}

	return result === 'open' || result === 'unanswered';
}
