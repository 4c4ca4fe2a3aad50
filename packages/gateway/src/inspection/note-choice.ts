import {type Failure} from '@valehitch/core';
import {type DecisionNotes, type ServerChoice} from '@valehitch/routing';
import {type Either} from 'purify-ts';
import {type NotedRequest} from '../entry/find-server-options.js';

/** A choice of a server for a request. */
export type NotedChoice = {
	readonly choice: Either<Failure, ServerChoice>;
	readonly noted: NotedRequest;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/**
Notes a choice of a server: that no server can take the request always, and a server that was chosen for the sampled share.

@param notes Where it is noted.
@param options The choice, and the request.
@example
```ts
noteChoice(notes, {choice, noted: {id: 'a1', model, hasFurtherCriteria: false}, now});
```
*/
export function noteChoice(notes: DecisionNotes, {choice, noted: {id, model, hasFurtherCriteria}, now}: NotedChoice): void {
	if (choice.isLeft()) {
		if (!hasFurtherCriteria) {
			notes.record(id, {
				at: now, kind: 'no-server', model, facts: {reason: choice.extract().message},
			});
		}

		return;
	}

	if (notes.samples(id)) {
		const {server, considered} = choice.unsafeCoerce();
		notes.record(id, {
			at: now, kind: 'chosen', model, server, considered,
		});
	}
}
