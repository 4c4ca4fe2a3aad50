import {ServerLinks} from '@valehitch/routing';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryInstanceOptions} from './entry-instance-options.js';
import {type EntryServers} from './entry-servers.js';
import {isServerReachable} from './is-server-reachable.js';

type ServerLinkParts = Pick<EntryInstanceOptions, 'clock' | 'random' | 'wait' | 'log' | 'metrics'>;

type ServerLinkState = {
	readonly servers: Pick<EntryServers, 'availability' | 'forgetConnectionFailures'>;
	readonly relayCount: () => number;
	/** Called when the instance finds that it reaches no server. */
	readonly onCutOff: () => void;
};

/** The timeout of a trial connection to a server, in milliseconds. */
const trialTimeoutMilliseconds = 200;

/**
Creates the links of an entry instance to backend servers, with its log and metrics.

@param options The options of the instance.
@param state The servers, the number of instances that can be asked to open connections, and who hears of a cut.
@returns The links.
@example
```ts
const links = createServerLinks(options, {servers, relayCount: () => relays.candidateCount, onCutOff});
```
*/
export function createServerLinks({clock, random, wait, log, metrics}: ServerLinkParts, {servers, relayCount, onCutOff}: ServerLinkState): ServerLinks<ServerRecord> {
	return new ServerLinks({
		clock,
		random,
		wait,
		servers: () => servers.availability.available,
		isReachable: async server => isServerReachable(server, trialTimeoutMilliseconds),
		onCutOff({service, servers: unreachable, duration}) {
			log('servers-unreachable', {
				service, servers: unreachable, unreachable: unreachable.length, duration, relays: relayCount(),
			}, 'warn');
			servers.forgetConnectionFailures(service);
			onCutOff();
		},
		onReachable({service, servers: unreachable, duration}) {
			log('servers-reachable', {service, unreachable: unreachable.length, duration}, 'warn');
		},
		onCount(unreachable) {
			metrics.unreachableServers.set(unreachable);
		},
	});
}
