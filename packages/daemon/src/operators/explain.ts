import {type ServerResponse} from 'node:http';
import {failure, type RequestId, toId} from '@valehitch/core';
import {type DecisionRecord} from '@valehitch/routing';
import {answerProblem} from '@valehitch/transport';
import {answerJson} from '../answer-json.js';
import {mayBeFrom} from '../entry/request-id.js';
import {type OperatorContext} from './operator-context.js';

/** Where the decisions of a request are asked for. */
export const explainPath = '/v1/explain/';

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
export async function answerExplain(response: ServerResponse, pathname: string, context: OperatorContext): Promise<void> {
	const request = toId<RequestId>(pathname.slice(explainPath.length));
	const found = context.entry.decisions.get(request) ?? await askOthers(request, context);
	if (found === undefined) {
		answerProblem(response, failure('not-found', `Got request ${request.slice(0, 64)}, wanted one that an instance served lately`));
		return;
	}

	answerJson(response, found);
}

async function askOthers(request: RequestId, {base: {network, self}, distribution}: OperatorContext): Promise<DecisionRecord | undefined> {
	const others = distribution.members().filter(({instance}) => instance !== self.instance && mayBeFrom(request, instance));
	for (const other of others.slice(0, mostAsked)) {
		const reply = await network.request(other, {scope: 'entry', type: 'explain', request});
		const record = reply.toMaybe().extractNullable() as DecisionRecord | undefined;
		if (record) {
			return record;
		}
	}

	return undefined;
}
