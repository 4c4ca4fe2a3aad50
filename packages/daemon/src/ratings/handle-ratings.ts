import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Failure} from '@valehitch/core';
import {sendProblem, parseJsonBody, readBody} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import {answerJson} from '../answer-json.js';
import {type RatingCounts} from './record-ratings.js';
import {type Rating, ratingsSchema} from './rating.js';

/** The path to which the rating service posts ratings. */
export const ratingsPath = '/v1/ratings';

const maximumRatingsBytes = 1_048_576;

/**
Handles a request of the rating service: `POST /v1/ratings`. The caller has already checked its key.

@param request The request.
@param response The response: 200 with the counts `accepted`, `doubled` and `unknown`, or `malformed-request` or `too-large`.
@param onRatings Called with the ratings of a valid request; returns the counts.
@example
```ts
await handleRatings(request, response, ratings => tracker.recordRatings(ratings));
```
*/
export async function handleRatings(request: IncomingMessage, response: ServerResponse, onRatings: (ratings: readonly Rating[]) => RatingCounts): Promise<void> {
	const body = await readBody(request, maximumRatingsBytes);
	const ratings = body.chain(parseRatings);
	ratings.caseOf({
		Left(failed) {
			sendProblem(response, failed);
		},
		Right(parsed) {
			answerJson(response, onRatings(parsed));
		},
	});
}

function parseRatings(bytes: Uint8Array): Either<Failure, readonly Rating[]> {
	return parseJsonBody({bytes, schema: ratingsSchema}, {
		schemaMismatchMessage: 'The body does not match {requestId, model, version, workspace, class, rating, ratedAt} or a list of at most 1000 of them',
	});
}
