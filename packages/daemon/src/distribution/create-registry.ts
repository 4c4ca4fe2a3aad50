import {type InstanceId} from '@valehitch/core';
import {type DaemonBase} from '../daemon-base.js';
import {ServerRegistry, type ServerRegistryOptions} from './server-registry.js';

/** What the registry needs besides the base. */
export type CreateRegistryOptions = Pick<ServerRegistryOptions, 'records' | 'loads' | 'onChange'> & {
	/** Tells whether a daemon is lost. */
	readonly isLost: (holder: InstanceId) => boolean;
};

const renewalsBeforeExpiry = 3;

/**
Makes the registry of backend servers by the settings.

@param base What every part works with.
@param options The digests, and what to tell.
@returns The registry.
@example
```ts
const registry = createRegistry(base, {records, loads, onChange, isLost});
```
*/
export function createRegistry({settings: {instance, zone, timing}, clock, timeline}: DaemonBase, {isLost, ...options}: CreateRegistryOptions): ServerRegistry {
	const expiryMilliseconds = timing.announcementRenewMilliseconds * renewalsBeforeExpiry;
	return new ServerRegistry({
		...options,
		timeline,
		table: {
			clock, zone, instance, expiryMilliseconds, isLost,
		},
	});
}
