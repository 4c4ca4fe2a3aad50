import {type Failure} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {authorizeRequest, type AuthorizedRequest} from './authorize-request.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest} from './gateway-request.js';
import {startWait} from './start-wait.js';

/** What the wait of a request needs. */
export type AuthorizeAtStartOptions = {
	readonly context: Pick<EntryContext, 'table' | 'lease' | 'clock' | 'nextNews'>;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
};

/** The part of a caller's patience that a request waits for the first confirmed configuration: a start has it within half a second, and most callers come back only once after a refusal. */
const configurationWaitShare = 0.25;

/**
Authorizes a request, and lets it wait a short while where this instance has only just started, or woken, and has no confirmed configuration yet.

@param request The request.
@param options What it waits for.
@returns The route and the workspace, or why the request may not be sent.
@example
```ts
const authorized = await authorizeAtStart(request, {context, arrivedAt});
```
*/
export async function authorizeAtStart(request: GatewayRequest, {context, arrivedAt}: AuthorizeAtStartOptions): Promise<Either<Failure, AuthorizedRequest>> {
	const {lease, clock, nextNews} = context;
	const until = arrivedAt + startWait(request.patience ?? 0, configurationWaitShare);
	for (;;) {
		const now = clock.monotonic();
		const authorized = authorizeRequest(request, {lease, table: context.table(), now});
		const isOnItsWay = !lease.wasConfirmed || lease.isDoubted;
		if (authorized.isRight() || !isOnItsWay || now >= until) {
			return authorized;
		}

		await nextNews(until - now);
	}
}
