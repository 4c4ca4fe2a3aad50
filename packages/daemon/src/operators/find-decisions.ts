import {type Failure, failure, type RequestId} from '@valehitch/core';
import {type DecisionRecord} from '@valehitch/routing';
import {type Either, Left, Right} from 'purify-ts';
import {type Member} from '../member.js';

/** Where to look for the decisions of a request. */
export type FindDecisionsOptions = {
	/** The record of this instance, if it has one. */
	readonly local: DecisionRecord | undefined;
	/** The other instances whose tag matches the one in the request id. */
	readonly others: readonly Member[];
	/** Queries another instance; the result is undefined if it has no record. */
	readonly ask: (other: Member) => Promise<Either<Failure, DecisionRecord | undefined>>;
};

/**
Finds the decisions of a request on this instance or on another one that may have served it.

An unreachable instance may have the record, so its failure is returned instead of `not-found`.

@param request The id of the request.
@param options The local record and the instances to query.
@returns The decisions; otherwise the failure of an unreachable instance, or `not-found` if all instances replied.
@example
```ts
const found = await findDecisions(request, {local: decisions.get(request), others, ask});
```
*/
export async function findDecisions(request: RequestId, {local, others, ask}: FindDecisionsOptions): Promise<Either<Failure, DecisionRecord>> {
	if (local !== undefined) {
		return Right(local);
	}

	let failed: Failure | undefined;
	for (const other of others) {
		const answer = await ask(other);
		if (answer.isLeft()) {
			failed = answer.extract();
			continue;
		}

		const record = answer.orDefault(undefined);
		if (record !== undefined) {
			return Right(record);
		}
	}

	return Left(failed ?? failure('not-found', `No instance has a record of request ${request.slice(0, maximumEchoedLength)}; only recent requests are kept`));
}

/** The maximum length of a requested id in the error message: an id has 43 characters, but the path may contain any text. */
const maximumEchoedLength = 64;
