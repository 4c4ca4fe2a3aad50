import {
	probeAddress, type Relay, type ResponseEnd, type ServerRelays, setTimeoutAfterPoll,
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
/** The time without an answer after which another instance is asked too, in milliseconds. A busy server answers health checks like other requests. */
const ownLinksMilliseconds = 400;

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

/** Asks over the way that was used, and through another instance too if this one's own links get no answer soon. */
async function isSameServer({relays, relay, identify}: Pick<IsServerRunningOptions, 'relays' | 'relay' | 'identify'>): Promise<boolean> {
	const own = identify(relay);
	const identity = relay === undefined ? await within(ownLinksMilliseconds, own) : await own;
	if (identity !== 'unknown' || relay !== undefined) {
		return identity === 'same';
	}

	const other = relays.choose(new Set());
	return other === undefined ? await own === 'same' : isFirstKnownSame([own, identify(other)]);
}

/** Returns an identity if it is known in time. */
async function within(milliseconds: number, identity: Promise<ServerIdentity>): Promise<ServerIdentity> {
	return new Promise(resolve => {
		const stopTimeout = setTimeoutAfterPoll(milliseconds, () => {
			resolve('unknown');
		});
		void identity.then(known => {
			stopTimeout();
			resolve(known);
		});
	});
}

/** Whether the first identity that becomes known is that of the server. */
async function isFirstKnownSame(identities: ReadonlyArray<Promise<ServerIdentity>>): Promise<boolean> {
	return new Promise(resolve => {
		for (const identity of identities) {
			void identity.then(known => {
				if (known !== 'unknown') {
					resolve(known === 'same');
				}
			});
		}

		void Promise.all(identities).then(() => {
			resolve(false);
		});
	});
}
