import {type Failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** The serializable form of an `Either`. */
export type ResultReply<Value>
	= | {readonly ok: true; readonly value: Value}
		| {readonly ok: false; readonly failure: Failure};

/**
Converts a result to its serializable form.

@param result The result.
@returns The reply.
@example
```ts
toResultReply(state.apply(command));
```
*/
export function toResultReply<Value>(result: Either<Failure, Value>): ResultReply<Value> {
	return result.caseOf<ResultReply<Value>>({
		Left: failed => ({ok: false, failure: failed}),
		Right: value => ({ok: true, value}),
	});
}

/**
Converts a received reply back to an `Either`.

@param reply The reply.
@returns The result or its failure.
@example
```ts
fromResultReply(reply).map(answer => answer.revision);
```
*/
export function fromResultReply<Value>(reply: ResultReply<Value>): Either<Failure, Value> {
	return reply.ok ? Right(reply.value) : Left(reply.failure);
}
