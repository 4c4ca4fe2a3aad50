import {RelaySelector} from '@valehitch/routing';
import {ServerRelays, TunnelAgent} from '@valehitch/transport';
import {poolOptions, trackIdleTimes} from './connection-pool.js';
import {type EntryInstanceOptions} from './entry-instance-options.js';
import {type KnownPeers} from './known-peers.js';

type RelayPeers = Pick<KnownPeers, 'relays' | 'cutOffRelays'>;
type ServerRelayParts = Pick<EntryInstanceOptions, 'clock' | 'random' | 'log' | 'metrics' | 'openTunnel'>;

/**
Creates the relays of an entry instance, with its log, metrics and pools of connections.

@param options The options of the instance.
@param peers The entry instances that may be asked, read at each choice.
@returns The relays.
@example
```ts
const relays = createServerRelays(options, peers);
```
*/
export function createServerRelays({clock, random, log, metrics, openTunnel}: ServerRelayParts, peers: RelayPeers): ServerRelays {
	return new ServerRelays({
		clock,
		selector: new RelaySelector({random}),
		peers: () => peers.relays,
		cutOffPeers: () => peers.cutOffRelays,
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
