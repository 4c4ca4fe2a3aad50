import {type ServiceLinks} from '@valehitch/routing';
import {
	type ProbeResult, probeAddress, type Relay, type ServerRelays,
} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';

/** Options of {@linkcode checkServerProcess}. */
export type CheckServerProcessOptions = {
	/** The links to the servers of its service. */
	readonly links: Pick<ServiceLinks, 'areConnected'>;
	readonly relays: Pick<ServerRelays, 'choose'>;
};

/** What is found about a server whose connection broke: its process is assumed to be running, has certainly ended, or runs and only this instance's link to it has failed. */
export type ProcessCheck = 'running' | 'ended' | 'link-lost';

/** The timeout of the connection attempt, in milliseconds. A running machine accepts or refuses a connection within one round trip. If it does neither, it is partitioned or has no power, and whether the process has ended is unknown. */
const answerMilliseconds = 100;

/**
Checks whether the process of a server has ended after a connection to it broke: its machine then refuses new connections, from other instances too.

A connection reset is not enough evidence, because a server resets connections beyond its limit and closes idle keep-alive connections. Draining servers are not checked, since they may exit at any time.

@param server The server.
@param options The links of this instance, and the instances that can confirm what they show.
@returns What is found.
@example
```ts
const check = await checkServerProcess({host: '10.0.0.7', port: 8740}, {links, relays});
```
*/
export async function checkServerProcess(server: Pick<ServerRecord, 'host' | 'port'>, {links, relays}: CheckServerProcessOptions): Promise<ProcessCheck> {
	const result = await probeAddress(server, answerMilliseconds);
	if (result === 'open') {
		return 'running';
	}

	const confirmation = result === 'refused' ? await confirm(server, relays.choose(new Set())) : 'unavailable';
	switch (confirmation) {
		case 'refused': {
			return 'ended';
		}

		case 'open': {
			return 'link-lost';
		}

		case 'unanswered': {
			return 'running';
		}

		case 'unavailable': {
			return withoutConfirmation(result, links);
		}
	}
}

async function confirm(server: Pick<ServerRecord, 'host' | 'port'>, relay: Relay | undefined): Promise<ProbeResult | 'unavailable'> {
	return relay === undefined ? 'unavailable' : relay.probe(server);
}

function withoutConfirmation(result: ProbeResult, {areConnected}: Pick<ServiceLinks, 'areConnected'>): ProcessCheck {
	if (!areConnected) {
		return 'link-lost';
	}

	return result === 'refused' ? 'ended' : 'running';
}
