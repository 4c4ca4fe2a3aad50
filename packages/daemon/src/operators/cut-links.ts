import {type IncomingMessage, type ServerResponse} from 'node:http';
import {failure, type InstanceId, toId} from '@valehitch/core';
import {answerProblem, readBody} from '@valehitch/transport';
import {z} from 'zod';
import {answerJson} from '../answer-json.js';
import {type OperatorContext} from './operator-context.js';

const maximumBytes = 65_536;
const cutSchema = z.strictObject({cut: z.array(z.string())});

/**
Cuts the links with the named instances and mends all others; for failure tests, and only with the setting `faults`.

@param request The operator's request, with the body `{cut: [INSTANCE]}`.
@param response The response.
@param context What the port works with.
@example
```ts
await cutLinks(request, response, context);
```
*/
export async function cutLinks(request: IncomingMessage, response: ServerResponse, {base: {network, settings}}: OperatorContext): Promise<void> {
	if (!settings.faults) {
		answerProblem(response, failure('forbidden', 'Got a fault to make, wanted the setting faults'));
		return;
	}

	const body = await readBody(request, maximumBytes);
	const cut = body.toMaybe().map(bytes => cutSchema.safeParse(parseJson(bytes)).data?.cut).extract();
	if (cut === undefined) {
		answerProblem(response, failure('malformed-request', 'Got another body, wanted {cut: [INSTANCE]}'));
		return;
	}

	network.cut(new Set(cut.map(instance => toId<InstanceId>(instance))));
	answerJson(response, {cut});
}

function parseJson(bytes: Uint8Array): unknown {
	try {
		return JSON.parse(new TextDecoder().decode(bytes));
	} catch {
		return undefined;
	}
}
