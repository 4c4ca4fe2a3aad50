import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Command} from '@valehitch/control';
import {
	type Failure, type ModelId, toId, type VersionId,
} from '@valehitch/core';
import {sendProblem, parseJsonBody, readBody} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import * as z from 'zod';
import {answerJson} from '../answer-json.js';
import {type OperatorContext} from './operator-context.js';

const maximumBytes = 65_536;
const name = z.string().min(1).max(64);
const changeSchema = z.discriminatedUnion('action', [
	z.strictObject({
		action: z.literal('advance'), model: name, version: name, fromStage: z.int().min(0),
	}),
	z.strictObject({
		action: z.literal('stop'), model: name, version: name, reason: z.string().min(1).max(500),
	}),
]);

type RolloutChange = z.infer<typeof changeSchema>;

/**
Advances a rollout by one stage, or stops its version: `POST /v1/rollouts`.

@param request The operator's request.
@param response The response, which is sent once the change is committed.
@param context The components that the operator port uses.
@example
```ts
await changeRollout(request, response, context);
```
*/
export async function changeRollout(request: IncomingMessage, response: ServerResponse, {base, control}: OperatorContext): Promise<void> {
	const body = await readBody(request, maximumBytes);
	const change = body.chain(bytes => parseChange(bytes));
	if (change.isLeft()) {
		sendProblem(response, change.extract());
		return;
	}

	const result = await control.propose(toCommand(change.unsafeCoerce(), base.clock.now().getTime()));
	result.caseOf({
		Left(failed) {
			sendProblem(response, failed);
		},
		Right({revision}) {
			answerJson(response, {revision, committed: true});
		},
	});
}

function toCommand(change: RolloutChange, at: number): Command {
	const model = toId<ModelId>(change.model);
	const version = toId<VersionId>(change.version);
	return change.action === 'advance'
		? {
			type: 'advance-rollout', model, version, fromStage: change.fromStage, at,
		}
		: {
			type: 'stop-version', model, version, reason: change.reason, at,
		};
}

function parseChange(bytes: Uint8Array): Either<Failure, RolloutChange> {
	return parseJsonBody({bytes, schema: changeSchema}, {invalidJsonMessage: 'The body is not JSON; expected a rollout change'});
}
