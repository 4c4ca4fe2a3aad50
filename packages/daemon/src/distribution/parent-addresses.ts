import {type InstanceId} from '@valehitch/core';
import {parentCandidates} from '@valehitch/membership';
import {type Settings} from '@valehitch/settings';
import {type PeerAddress} from '@valehitch/transport';
import {type MemberMonitor} from './member-monitor.js';

/** Options of {@linkcode parentAddresses}. */
export type ParentAddressesOptions = {
	readonly memberMonitor: MemberMonitor;
	readonly settings: Settings;
	readonly leader: InstanceId | undefined;
};

/**
Returns the addresses of the possible parents of this instance, best first.

@param options The members, the control instances and the leader.
@returns The addresses.
@example
```ts
const [parent] = parentAddresses({memberMonitor, settings, leader});
```
*/
export function parentAddresses({memberMonitor, settings: {control}, leader}: ParentAddressesOptions): PeerAddress[] {
	const {self, members} = memberMonitor;
	const addresses = new Map<InstanceId, PeerAddress>([...members, ...control].map(address => [address.instance, address]));
	return parentCandidates({
		self, members, seeds: control, leader,
	})
		.map(instance => addresses.get(instance))
		.filter(address => address !== undefined);
}
