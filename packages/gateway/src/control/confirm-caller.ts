import {
	type Clock, type Failure, failure, Stopwatch,
} from '@valehitch/core';
import {setTimeoutAfterPoll} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import {type DecisionLog} from '../logs/decision-log.js';

/** Options of {@linkcode confirmCaller}. */
export type ConfirmCallerOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** What is ordered, for the log. */
	readonly order: string;
	/** Waits for a number of milliseconds, after which pending input has been read. Defaults to a timer. */
	readonly wait?: (milliseconds: number) => Promise<void>;
};

/** The time in which the close of a connection arrives that was sent after its data, in milliseconds: a round trip between regions. */
const closeMilliseconds = 100;
/** A wait that took longer than this may have been a suspension, in milliseconds, after which the close has yet to be read. It is repeated once only, so that a busy instance still carries out orders. */
const maximumWaitMilliseconds = 2 * closeMilliseconds;

/**
Checks that the caller of an order still waits for its answer.

An order may be read long after it was sent, when its caller has sent it elsewhere and other orders after it. A caller that gives up closes its connection, which is read after the order.

@param caller Aborted once the caller has closed its connection.
@param options The order, and the clock.
@returns `deadline-exceeded` if the caller has left.
@example
```ts
await confirmCaller(caller, {clock, log, order: 'evacuation of hall-a'});
```
*/
export async function confirmCaller(caller: AbortSignal, {clock, log, order, wait = waitAfterPoll}: ConfirmCallerOptions): Promise<Either<Failure, undefined>> {
	const stopwatch = new Stopwatch(clock);
	await wait(closeMilliseconds);
	if (stopwatch.elapsed() > maximumWaitMilliseconds) {
		await wait(closeMilliseconds);
	}

	if (!caller.aborted) {
		return Right(undefined);
	}

	const abandoned = failure('deadline-exceeded', 'The caller closed the connection before the order was carried out');
	log('order-abandoned', {order, reason: abandoned.message}, 'warn');
	return Left(abandoned);
}

async function waitAfterPoll(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeoutAfterPoll(milliseconds, resolve);
	});
}
