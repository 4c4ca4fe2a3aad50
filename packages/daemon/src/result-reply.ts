import {type Failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** An `Either` as it goes over a link. */
export type ResultReply<Value>
	= | {readonly ok: true; readonly value: Value}
		| {readonly ok: false; readonly failure: Failure};

/**
Makes a result ready for a link.

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
Reads a result that came over a link.

@param reply The reply.
@returns The result.
@example
```ts
fromResultReply(reply).map(answer => answer.revision);
```
*/
export function fromResultReply<Value>(reply: ResultReply<Value>): Either<Failure, Value> {
	return reply.ok ? Right(reply.value) : Left(reply.failure);
}
