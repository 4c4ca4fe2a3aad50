import {type Clock, type Failure, failure} from '@valehitch/core';
import {setTimeoutAfterPoll} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';

/** Options of {@linkcode confirmCaller}. */
export type ConfirmCallerOptions = {
	readonly clock: Clock;
	/** Waits for a number of milliseconds, after which pending input has been read. Defaults to a timer. */
	readonly wait?: (milliseconds: number) => Promise<void>;
};

/** The time in which the close of a connection arrives that was sent after its data, in milliseconds: a round trip between regions. */
const closeMilliseconds = 100;
/** A wait that took longer than this may have been a suspension, in milliseconds, after which the close has yet to be read. */
const maximumWaitMilliseconds = 2 * closeMilliseconds;

/**
Checks that the caller of an order still waits for its answer.

An order may be read long after it was sent, when its caller has sent it elsewhere and other orders after it. A caller that gives up closes its connection, which is read after the order.

@param caller Aborted once the caller has closed its connection.
@param options The clock.
@returns `deadline-exceeded` if the caller has left.
@example
```ts
await confirmCaller(caller, {clock});
```
*/
export async function confirmCaller(caller: AbortSignal, {clock, wait = waitAfterPoll}: ConfirmCallerOptions): Promise<Either<Failure, undefined>> {
	let elapsed = Number.POSITIVE_INFINITY;
	while (elapsed > maximumWaitMilliseconds && !caller.aborted) {
		const monotonic = clock.monotonic();
		const wall = clock.now().getTime();
		await wait(closeMilliseconds);
		// The monotonic clock may stop during a suspension.
		elapsed = Math.max(clock.monotonic() - monotonic, clock.now().getTime() - wall);
	}

	return caller.aborted ? Left(failure('deadline-exceeded', 'The caller closed the connection before the order was carried out')) : Right(undefined);
}

async function waitAfterPoll(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeoutAfterPoll(milliseconds, resolve);
	});
}
