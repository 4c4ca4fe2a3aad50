import {type Failure} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {authorizeRequest, type AuthorizedRequest} from './authorize-request.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest} from './gateway-request.js';
import {startupWait} from './startup-wait.js';

/** Options of {@linkcode authorizeAtStartup}. */
export type AuthorizeAtStartupOptions = {
	readonly context: Pick<EntryContext, 'table' | 'lease' | 'clock' | 'nextReply'>;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
};

/** The share of the caller's timeout that a request may wait for the first confirmed configuration. An instance receives one within half a second of its start, and most callers retry only once after a refusal. */
const configurationWaitShare = 0.25;

/**
Authorizes a request. If this instance has just started or resumed from suspension and has no confirmed configuration yet, the request waits for one for a bounded time.

@param request The request.
@param options The context and the time of arrival.
@returns The route and the workspace, or the reason why the request may not be sent.
@example
```ts
const authorized = await authorizeAtStartup(request, {context, arrivedAt});
```
*/
export async function authorizeAtStartup(request: GatewayRequest, {context, arrivedAt}: AuthorizeAtStartupOptions): Promise<Either<Failure, AuthorizedRequest>> {
	const {lease, clock, nextReply} = context;
	const waitUntil = arrivedAt + startupWait(request.timeout ?? 0, configurationWaitShare);
	for (;;) {
		const now = clock.monotonic();
		const authorized = authorizeRequest(request, {lease, table: context.table(), now});
		const isConfirmationPending = !lease.wasConfirmed || lease.wasSuspended;
		if (authorized.isRight() || !isConfirmationPending || now >= waitUntil) {
			return authorized;
		}

		await nextReply(waitUntil - now);
	}
}
