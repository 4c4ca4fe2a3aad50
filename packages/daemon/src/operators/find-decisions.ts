import {type Failure, failure, type RequestId} from '@valehitch/core';
import {type DecisionRecord} from '@valehitch/routing';
import {type Either, Left, Right} from 'purify-ts';
import {type Member} from '../member.js';

/** Who may hold the decisions of a request. */
export type FindDecisionsOptions = {
	/** What this instance holds of the request itself. */
	readonly own: DecisionRecord | undefined;
	/** The other instances whose mark the id bears. */
	readonly others: readonly Member[];
	/** Asks another instance; its answer is undefined where it holds nothing. */
	readonly ask: (other: Member) => Promise<Either<Failure, DecisionRecord | undefined>>;
};

/**
Finds the decisions of a request, here or on an instance that may have served it.

An instance that gives no answer may hold them, so that its failure is told in place of `not-found`.

@param request The request.
@param options Who may hold its decisions.
@returns The decisions; the failure of the link where an instance gave no answer, else `not-found`.
@example
```ts
const found = await findDecisions(request, {own: decisions.get(request), others, ask});
```
*/
export async function findDecisions(request: RequestId, {own, others, ask}: FindDecisionsOptions): Promise<Either<Failure, DecisionRecord>> {
	if (own !== undefined) {
		return Right(own);
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

	return Left(failed ?? failure('not-found', `Got request ${request.slice(0, shownLength)}, wanted one that an instance served lately`));
}

/** The characters of an asked id that are shown again: an id has 43, and a caller may send any. */
const shownLength = 64;
