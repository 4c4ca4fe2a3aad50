import {type InstanceId} from '@valehitch/core';
import {RelaySelector} from '@valehitch/routing';
import {ServerRelays, TunnelAgent} from '@valehitch/transport';
import {poolOptions, trackIdleTimes} from './connection-pool.js';
import {type EntryInstanceOptions} from './entry-instance-options.js';

type ServerRelayParts = Pick<EntryInstanceOptions, 'clock' | 'random' | 'log' | 'metrics' | 'openTunnel'>;

/**
Creates the relays of an entry instance, with its log, metrics and pools of connections.

@param options The options of the instance.
@param peers Returns the entry instances that may be asked.
@returns The relays.
@example
```ts
const relays = createServerRelays(options, () => peers.ids);
```
*/
export function createServerRelays({clock, random, log, metrics, openTunnel}: ServerRelayParts, peers: () => readonly InstanceId[]): ServerRelays {
	return new ServerRelays({
		clock,
		selector: new RelaySelector({random}),
		peers,
		openTunnel,
		createPool: open => trackIdleTimes(new TunnelAgent(open, poolOptions)),
		onTunnel(relay, result) {
			metrics.tunnels.inc({result: result === 'opened' ? result : result.type});
			if (result !== 'opened' && result.type === 'peer-unavailable') {
				log('relay-unavailable', {relay, reason: result.reason}, 'warn');
			}
		},
	});
}
