import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type Failure, failure, type InstanceId, toId,
} from '@valehitch/core';
import {sendProblem, parseJsonBody, readBody} from '@valehitch/transport';
import {type Either} from 'purify-ts';
import * as z from 'zod';
import {answerJson} from '../answer-json.js';
import {type DaemonBase} from '../daemon-base.js';

const maximumBytes = 65_536;
const cutSchema = z.strictObject({cut: z.array(z.string())});

/**
Drops all messages between this instance and the listed ones, in both directions, until the next call: `POST /v1/faults/links`. Fault-injection tests use it; it is available only with the setting `faults`.

@param request The operator's request, with a body `{cut: [INSTANCE]}` that replaces the current list.
@param response The response.
@param base The dependencies that all components share.
@example
```ts
await injectLinkFaults(request, response, base);
```
*/
export async function injectLinkFaults(request: IncomingMessage, response: ServerResponse, {settings, network, log}: DaemonBase): Promise<void> {
	if (!settings.faults) {
		sendProblem(response, failure('not-found', 'No route for POST /v1/faults/links; docs/API.md lists the routes'));
		return;
	}

	const body = await readBody(request, maximumBytes);
	body.chain(bytes => parseCut(bytes)).caseOf({
		Left(failed) {
			sendProblem(response, failed);
		},
		Right(cut) {
			network.setBlockedInstances(new Set(cut));
			log.warn({cut}, 'Links to other instances are cut for fault injection');
			answerJson(response, {cut});
		},
	});
}

function parseCut(bytes: Uint8Array): Either<Failure, readonly InstanceId[]> {
	return parseJsonBody({bytes, schema: cutSchema}, {schemaMismatchMessage: 'The body does not match {"cut": [INSTANCE]}'})
		.map(({cut}) => cut.map(instance => toId<InstanceId>(instance)));
}
