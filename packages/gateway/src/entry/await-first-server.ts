import {type EntryContext} from './entry-context.js';
import {type SendAllowance} from './send-allowance.js';
import {startupWait} from './startup-wait.js';

/** The part of the context that a wait for the first server uses. */
export type AwaitFirstServerContext = Pick<EntryContext, 'nextServerChange'> & {
	readonly clock: Pick<EntryContext['clock'], 'monotonic'>;
};

/** Options of {@linkcode awaitFirstServer}. */
export type AwaitFirstServerOptions = {
	readonly allowance: Pick<SendAllowance, 'sends' | 'connectionFailures'>;
	/** When the request first found no server, in milliseconds on the monotonic clock. */
	readonly since: number;
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
};

/** The share of the time left that a request may wait for the first server. A running server announces itself within about a second. */
const serverWaitShare = 0.06;

/**
Waits for a bounded time for a server to appear, if the request has not been sent to any yet. After all control instances are lost, every server has to announce itself again.

@param context The clock and the notification of server changes.
@param options The request.
@returns True after waiting for a change of the servers or until the wait timed out; false if the waiting time is used up or a server was already tried.
@example
```ts
const hasWaited = await awaitFirstServer(context, {allowance, since, deadlineAt});
```
*/
export async function awaitFirstServer(context: AwaitFirstServerContext, options: AwaitFirstServerOptions): Promise<boolean> {
	const {clock, nextServerChange} = context;
	const {allowance, since, deadlineAt} = options;
	const waitUntil = since + startupWait(deadlineAt - since, serverWaitShare);
	const remaining = waitUntil - clock.monotonic();
	if (allowance.sends > 0 || allowance.connectionFailures > 0 || remaining <= 0) {
		return false;
	}

	await nextServerChange(remaining);
	return true;
}
