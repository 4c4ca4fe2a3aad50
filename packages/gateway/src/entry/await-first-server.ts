import {type EntryContext} from './entry-context.js';
import {type SendAllowance} from './send-allowance.js';
import {startWait} from './start-wait.js';

/** The request that waits. */
export type AwaitFirstServerOptions = {
	readonly allowance: Pick<SendAllowance, 'sends' | 'unreachable'>;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	/** When its time ends, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
};

/** The part of the time of a request that it waits for the first server: one that runs announces itself within about a second. */
const serverWaitShare = 0.06;

/**
Waits a short while for a server where none was tried: after the loss of all control instances each has to announce itself anew.

@param context What tells of servers.
@param options The request.
@returns Whether it waited, until servers came or changed or the wait ran out; false where it has waited or tried one before.
@example
```ts
const hasWaited = await awaitFirstServer(context, {allowance, arrivedAt, deadlineAt});
```
*/
export async function awaitFirstServer({clock, nextServers}: Pick<EntryContext, 'clock' | 'nextServers'>, {allowance, arrivedAt, deadlineAt}: AwaitFirstServerOptions): Promise<boolean> {
	const until = arrivedAt + startWait(deadlineAt - arrivedAt, serverWaitShare);
	const left = until - clock.monotonic();
	if (allowance.sends > 0 || allowance.unreachable > 0 || left <= 0) {
		return false;
	}

	await nextServers(left);
	return true;
}
