import {type Announcement, type ServiceId, toId} from '@valehitch/core';

/** The group of all engines. No service has an empty name. */
export const engineGroup = toId<ServiceId>('');

/**
Returns the group of servers whose links are judged together: those of a service, or all engines.

@param announcement The announcement of a server.
@returns The group.
@example
```ts
serverGroupOf(announcement); // 'labels'
```
*/
export function serverGroupOf({service}: Pick<Announcement, 'service'>): ServiceId {
	return service ?? engineGroup;
}
