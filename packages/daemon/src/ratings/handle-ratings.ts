import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Failure} from '@valehitch/core';
import {answerProblem, parseJsonBody, readBody} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import {answerJson} from '../answer-json.js';
import {type IntakeCount} from './rating-intake.js';
import {type Rating, ratingsSchema} from './rating.js';

/** Where the rating service posts. */
export const ratingsPath = '/v1/ratings';

const maximumRatingsBytes = 1_048_576;

/**
Handles a post of the rating service, whose key was checked.

@param request The request.
@param response The response: 200 with the counts `accepted`, `doubled` and `unknown`, or `malformed-request` or `too-large`.
@param onRatings Takes the ratings.
@example
```ts
await handleRatings(request, response, ratings => part.take(ratings));
```
*/
export async function handleRatings(request: IncomingMessage, response: ServerResponse, onRatings: (ratings: readonly Rating[]) => IntakeCount): Promise<void> {
	const body = await readBody(request, maximumRatingsBytes);
	const ratings = body.chain(parseRatings);
	ratings.caseOf({
		Left(failed) {
			answerProblem(response, failed);
		},
		Right(parsed) {
			answerJson(response, onRatings(parsed));
		},
	});
}

function parseRatings(bytes: Uint8Array): Either<Failure, readonly Rating[]> {
	return parseJsonBody({bytes, schema: ratingsSchema}, {
		misfit: 'Got a body that does not fit, wanted {requestId, model, version, workspace, class, rating, ratedAt} or a list of up to 1000 of them',
	});
}
