import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	errorResponses, type Failure, failure, type SuspectFingerprint, type ServiceId, toId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {type ControlInstance, type EvacuationOrder, type RolloutStage} from '@valehitch/gateway';
import {callerSignal, parseJsonBody, readBody} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import * as z from 'zod';
import {decodeAnnouncement} from './decode-announcement.js';
import {decodeConfiguration} from './decode-configuration.js';
import {decodeServerId} from './decode-server-id.js';

type Answer = {
	readonly status: number;
	readonly body: string;
};

const rolloutSchema = z.object({service: z.string(), target: z.string(), durationS: z.number().positive()});
/** The rollout states of the platform's API. It has no separate state for shifting all traffic to the new version. */
const stateNames: Readonly<Record<RolloutStage, string>> = {
	canary: 'running', shifting: 'running', completed: 'completed', 'rolled-back': 'rolled_back',
};
const maximumConfigurationBytes = 8_388_608;
/** The longest body of any other request, in bytes. Any client can send them, and their names are kept. */
const maximumOrderBytes = 65_536;
const millisecondsPerSecond = 1000;
/** The maximum length at which an unvalidated id is logged, so that log lines stay small. Valid server ids are shorter. */
const maximumLoggedCharacters = 64;
const emptyAnswer: Answer = {status: 200, body: '{}'};

/**
Handles the HTTP requests of operators and backend servers.

@param control The control instance.
@param request The request.
@param response The response.
@example
```ts
startHttpServer({host, port, headerBytes: 16384, handler: async (request, response) => handleControl(control, request, response), onError});
```
*/
export async function handleControl(control: ControlInstance, request: IncomingMessage, response: ServerResponse): Promise<void> {
	const caller = callerSignal(response);
	const body = await readBody(request, isConfiguration(request) ? maximumConfigurationBytes : maximumOrderBytes);
	const answer = body.isLeft() ? Left(body.extract()) : await routeRequest(control, request, {body: body.unsafeCoerce(), caller});
	const {status, body: text} = answer.caseOf<Answer>({
		Left: failed => ({status: errorResponses[failed.kind].status, body: JSON.stringify({error: failed.kind, detail: failed.message})}),
		Right: value => value,
	});
	response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)});
	response.end(text);
}

function isConfiguration({method, url = ''}: IncomingMessage): boolean {
	return method === 'PUT' && url.split('?', 1)[0] === '/-/config';
}

type ReceivedOrder = {
	readonly body: Uint8Array;
	/** Aborted once the caller has closed its connection. */
	readonly caller: AbortSignal;
};

async function routeRequest(control: ControlInstance, {method, url = ''}: IncomingMessage, {body, caller}: ReceivedOrder): Promise<Either<Failure, Answer>> {
	const [collection, name, ...rest] = url.split('?', 1)[0]!.split('/').slice(2);
	const endpoint = `${method} ${collection}${name === undefined ? '' : '/'}`;
	if (!url.startsWith('/-/') || rest.length > 0) {
		return Left(failure('not-found', `No endpoint matches ${method} ${url}`));
	}

	switch (endpoint) {
		case 'PUT config': {
			return putConfiguration(control, new TextDecoder().decode(body));
		}

		case 'GET config': {
			const read = await control.operators.readConfiguration();
			return read.map(({document}) => ({status: 200, body: document}));
		}

		case 'POST rollouts': {
			return startRollout(control, {body, caller});
		}

		case 'GET rollouts/': {
			const read = await control.operators.readRollout(toId<ServiceId>(name!));
			return read.map(({stage, target}) => ({status: 200, body: JSON.stringify({state: stateNames[stage], target})}));
		}

		case 'POST evacuations/':
		case 'DELETE evacuations/': {
			return setEvacuation(control, {zone: toId<ZoneId>(name!), isEvacuated: method === 'POST'}, {body, caller});
		}

		case 'PUT instances/': {
			const record = decodeAnnouncement(name!, body);
			return record.caseOf<Promise<Either<Failure, Answer>>>({
				async Left(failed) {
					control.refuseAnnouncement({server: name!.slice(0, maximumLoggedCharacters), reason: failed.message});
					return Left(failed);
				},
				async Right(announced) {
					await control.announce(announced);
					return Right(emptyAnswer);
				},
			});
		}

		case 'GET quarantine': {
			return Right({status: 200, body: JSON.stringify({requests: await control.listSuspects()})});
		}

		case 'DELETE quarantine/': {
			const lifted = await control.liftQuarantine(toId<SuspectFingerprint>(name!), {caller});
			return lifted.chain(released => released
				? Right({status: 200, body: JSON.stringify(released)})
				: Left(failure('not-found', `No quarantined request has the fingerprint ${name!.slice(0, maximumLoggedCharacters)}`)));
		}

		case 'DELETE instances/': {
			const server = decodeServerId(name!);
			return server.caseOf<Promise<Either<Failure, Answer>>>({
				Left: async failed => Left(failed),
				async Right(ended) {
					await control.removeServer(ended);
					return Right(emptyAnswer);
				},
			});
		}

		default: {
			return Left(failure('not-found', `No endpoint matches ${method} ${url}`));
		}
	}
}

async function setEvacuation(control: ControlInstance, order: EvacuationOrder, {body, caller}: ReceivedOrder): Promise<Either<Failure, Answer>> {
	if (body.byteLength > 0) {
		return Left(failure('malformed-request', `An order about availability zone ${order.zone} has no body, but ${body.byteLength} bytes were received`));
	}

	const ordered = await control.operators.setEvacuation(order, {caller});
	return ordered.map(() => emptyAnswer);
}

async function putConfiguration(control: ControlInstance, document: string): Promise<Either<Failure, Answer>> {
	const decoded = decodeConfiguration(document);
	return decoded.caseOf<Promise<Either<Failure, Answer>>>({
		Left: async failed => Left(failed),
		async Right(configuration) {
			const submitted = await control.operators.submitConfiguration(configuration, document);
			return submitted.map(() => emptyAnswer);
		},
	});
}

async function startRollout(control: ControlInstance, {body, caller}: ReceivedOrder): Promise<Either<Failure, Answer>> {
	const parsed = parseJsonBody({bytes: body, schema: rolloutSchema});
	return parsed.caseOf<Promise<Either<Failure, Answer>>>({
		Left: async failed => Left(failed),
		async Right({service, target, durationS}) {
			const started = await control.operators.startRollout({
				service: toId<ServiceId>(service), target: toId<VersionId>(target), duration: durationS * millisecondsPerSecond,
			}, {caller});
			return started.map(() => emptyAnswer);
		},
	});
}
