import {type ServerResponse} from 'node:http';
import {type RequestId, toId} from '@valehitch/core';
import {type DecisionRecord} from '@valehitch/routing';
import {answerProblem} from '@valehitch/transport';
import {answerJson} from '../answer-json.js';
import {mayBeFrom} from '../entry/request-id.js';
import {findDecisions} from './find-decisions.js';
import {type OperatorContext} from './operator-context.js';

/** Where the decisions of a request are asked for. */
export const explainPath = '/v1/explain/';

/** The most instances that are asked for one id: nearly never do two bear the same mark. */
const mostAsked = 4;

/**
Answers with the decisions of a request: from this instance, or from the one whose mark the id bears.

Decisions live in the memory of the instance that served the request, so that they are gone with it.

@param response The response.
@param pathname The path, which ends with the request's id.
@param context What the port works with.
@example
```ts
await answerExplain(response, '/v1/explain/REQUEST_ID', context);
```
*/
export async function answerExplain(response: ServerResponse, pathname: string, {base: {network, self}, distribution, entry}: OperatorContext): Promise<void> {
	const request = toId<RequestId>(pathname.slice(explainPath.length));
	const others = distribution.members().filter(({instance}) => instance !== self.instance && mayBeFrom(request, instance));
	const found = await findDecisions(request, {
		own: entry.decisions.get(request),
		others: others.slice(0, mostAsked),
		async ask(other) {
			const reply = await network.request(other, {scope: 'entry', type: 'explain', request});
			return reply.map(record => (record ?? undefined) as DecisionRecord | undefined);
		},
	});
	found.caseOf({
		Left(failed) {
			answerProblem(response, failed);
		},
		Right(record) {
			answerJson(response, record);
		},
	});
}
