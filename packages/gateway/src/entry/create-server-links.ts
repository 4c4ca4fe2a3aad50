import {ServerLinks} from '@valehitch/routing';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryInstanceOptions} from './entry-instance-options.js';
import {type EntryServers} from './entry-servers.js';
import {isServerReachable} from './is-server-reachable.js';

type ServerLinkParts = Pick<EntryInstanceOptions, 'clock' | 'random' | 'wait' | 'log' | 'metrics'>;

/** The timeout of a trial connection to a server, in milliseconds. */
const trialTimeoutMilliseconds = 200;

/**
Creates the links of an entry instance to backend servers, with its log and metrics.

@param options The options of the instance.
@param servers The servers.
@returns The links.
@example
```ts
const links = createServerLinks(options, servers);
```
*/
export function createServerLinks({clock, random, wait, log, metrics}: ServerLinkParts, servers: Pick<EntryServers, 'availability' | 'forgetConnectionFailures'>): ServerLinks<ServerRecord> {
	return new ServerLinks({
		clock,
		random,
		wait,
		servers: () => servers.availability.available,
		isReachable: async server => isServerReachable(server, trialTimeoutMilliseconds),
		onCutOff({servers: unreachable, duration}) {
			log('servers-unreachable', {servers: unreachable, unreachable: unreachable.length, duration}, 'warn');
			servers.forgetConnectionFailures();
		},
		onReachable({servers: unreachable, duration}) {
			log('servers-reachable', {unreachable: unreachable.length, duration}, 'warn');
		},
		onCount(unreachable) {
			metrics.unreachableServers.set(unreachable);
		},
	});
}
