import {type InstanceId} from '@valehitch/core';
import {type DaemonBase} from '../daemon-base.js';
import {ServerRegistry, type ServerRegistryOptions} from './server-registry.js';

/** Options of {@linkcode createRegistry}. */
export type CreateRegistryOptions = Pick<ServerRegistryOptions, 'records' | 'loads' | 'onChange'> & {
	/** Returns whether a daemon is lost. */
	readonly isLost: (holder: InstanceId) => boolean;
};

const renewalsBeforeExpiry = 3;

/**
Creates the registry of backend servers from the settings.

@param base The dependencies that all components share.
@param options The digests and the callbacks.
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
