import {type ServerResponse} from 'node:http';
import {type RequestId, toId} from '@valehitch/core';
import {type DecisionRecord} from '@valehitch/routing';
import {sendProblem} from '@valehitch/transport';
import {answerJson} from '../answer-json.js';
import {mayOriginateFrom} from '../entry/request-id.js';
import {findDecisions} from './find-decisions.js';
import {type OperatorContext} from './operator-context.js';

/** The path prefix of the call that returns the decisions of a request. */
export const explainPath = '/v1/explain/';

/** The maximum number of instances to query for one id. Instances rarely share the tag in the id, so this is nearly never reached. */
const maximumQueriedInstances = 4;

/**
Responds with the routing decisions of a request: `GET /v1/explain/REQUEST_ID`. They come from this instance or from the one whose tag the request id contains.

The instance that served the request holds the decisions only in memory, so they are lost when it stops.

@param response The response.
@param pathname The path, which ends with the request id.
@param context The components that the operator port uses.
@example
```ts
await respondWithDecisions(response, '/v1/explain/REQUEST_ID', context);
```
*/
export async function respondWithDecisions(response: ServerResponse, pathname: string, {base: {network, self}, distribution, entry}: OperatorContext): Promise<void> {
	const request = toId<RequestId>(pathname.slice(explainPath.length));
	const others = distribution.members().filter(({instance}) => instance !== self.instance && mayOriginateFrom(request, instance));
	const found = await findDecisions(request, {
		local: entry.decisions.get(request),
		others: others.slice(0, maximumQueriedInstances),
		async ask(other) {
			const reply = await network.request(other, {scope: 'entry', type: 'explain', request});
			return reply.map(record => (record ?? undefined) as DecisionRecord | undefined);
		},
	});
	found.caseOf({
		Left(failed) {
			sendProblem(response, failed);
		},
		Right(record) {
			answerJson(response, record);
		},
	});
}
