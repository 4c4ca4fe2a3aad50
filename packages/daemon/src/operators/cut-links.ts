import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type Failure, failure, type InstanceId, toId,
} from '@valehitch/core';
import {answerProblem, parseJsonBody, readBody} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import * as z from 'zod';
import {answerJson} from '../answer-json.js';
import {type DaemonBase} from '../daemon-base.js';

const maximumBytes = 65_536;
const cutSchema = z.strictObject({cut: z.array(z.string())});

/**
Cuts the links of this instance with others, in both directions, until the next call; for failure tests, and only with the setting `faults`.

@param request The operator's request, with a body `{cut: [INSTANCE]}`.
@param response The response.
@param base What every part works with.
@example
```ts
await cutLinks(request, response, base);
```
*/
export async function cutLinks(request: IncomingMessage, response: ServerResponse, {settings, network, log}: DaemonBase): Promise<void> {
	if (!settings.faults) {
		answerProblem(response, failure('not-found', 'Got POST /v1/faults/links, wanted a call that docs/API.md lists'));
		return;
	}

	const body = await readBody(request, maximumBytes);
	body.chain(bytes => readCut(bytes)).caseOf({
		Left(failed) {
			answerProblem(response, failed);
		},
		Right(cut) {
			network.cut(new Set(cut));
			log.warn({cut}, 'Links were cut by a failure test');
			answerJson(response, {cut});
		},
	});
}

function readCut(bytes: Uint8Array): Either<Failure, readonly InstanceId[]> {
	return parseJsonBody({bytes, schema: cutSchema}, {misfit: 'Got a body without cut, wanted {"cut": [INSTANCE]}'})
		.map(({cut}) => cut.map(instance => toId<InstanceId>(instance)));
}
