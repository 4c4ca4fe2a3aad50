import {type Failure, failure, type TokenUsage} from '@valehitch/core';
import {type HttpAnswer, readBody, sendHttp} from '@valehitch/transport';
import {createParser} from 'eventsource-parser';
import {type Either, Left, Right} from 'purify-ts';
import {type ChatPlan} from './plan-chat.js';

/** An event of a streamed answer; `done` or `broken` is the last. */
export type EngineEvent
	= | {readonly type: 'data'; readonly data: string}
		| {readonly type: 'done'; readonly usage: TokenUsage}
		| {readonly type: 'broken'; readonly usage: TokenUsage};

/** The answer of an engine. */
export type EngineAnswer
	= | {readonly type: 'whole'; readonly body: Uint8Array; readonly usage: TokenUsage}
		| {readonly type: 'stream'; readonly events: AsyncIterable<EngineEvent>};

/** A call to an engine. */
export type EngineCall = {
	readonly plan: ChatPlan;
	readonly address: string;
	readonly signal: AbortSignal;
	/** The most bytes that a whole answer may have. */
	readonly maximumBytes: number;
};

type UsageJson = {
	readonly usage?: {readonly prompt_tokens?: number; readonly completion_tokens?: number} | undefined;
};

const lastEvent = '[DONE]';
const serviceUnavailable = 503;

/**
Calls an engine by the chat-completions protocol.

@param call The call.
@returns The answer; `no-server` where the request surely did not run; `outcome-unknown` or `backend-failed` otherwise.
@example
```ts
const answer = await callEngine({plan, address, signal, maximumBytes});
```
*/
export async function callEngine(call: EngineCall): Promise<Either<Failure, EngineAnswer>> {
	const {plan, address, signal} = call;
	const body = new TextEncoder().encode(JSON.stringify({...plan.body, model: `${plan.model}@${plan.version}`}));
	const answer = await sendHttp({
		address,
		method: 'POST',
		path: '/v1/chat/completions',
		headers: {
			'content-type': 'application/json',
			'valehitch-request-id': plan.requestId,
			'valehitch-attempt': '1',
			'valehitch-priority': String(plan.rule.priority),
		},
		body,
		signal,
		reuseConnection: true,
	});
	return answer.caseOf<Promise<Either<Failure, EngineAnswer>>>({
		Left: async ({neverSent, message}) => Left(neverSent
			? failure('no-server', `Got no connection to the engine: ${message}`)
			: failure('outcome-unknown', `Got no answer from the engine: ${message}`)),
		Right: async head => readAnswer(head, call),
	});
}

async function readAnswer(head: HttpAnswer, {plan, maximumBytes}: EngineCall): Promise<Either<Failure, EngineAnswer>> {
	if (head.status === serviceUnavailable && head.headers['valehitch-outcome'] === 'notRun') {
		head.message.resume();
		return Left(failure('no-server', 'Got a refusal from the engine, which did not run the request', {retryAfterMilliseconds: 1000}));
	}

	if (head.status !== 200) {
		head.message.resume();
		return Left(failure('backend-failed', `Got status ${head.status} from the engine, wanted 200`));
	}

	if (plan.facts.stream) {
		return Right({type: 'stream', events: readEvents(head)});
	}

	const body = await readBody(head.message, maximumBytes);
	return body
		.mapLeft(failed => failure('outcome-unknown', `Got no whole answer from the engine: ${failed.message}`))
		.chain(bytes => readWhole(bytes));
}

function readWhole(body: Uint8Array): Either<Failure, EngineAnswer> {
	try {
		return Right({type: 'whole', body, usage: usageOf(JSON.parse(new TextDecoder().decode(body)) as UsageJson)});
	} catch {
		return Left(failure('backend-failed', 'Got an answer from the engine that is not JSON'));
	}
}

async function * readEvents({message}: HttpAnswer): AsyncGenerator<EngineEvent> {
	const pending: string[] = [];
	const parser = createParser({
		onEvent({data}) {
			pending.push(data);
		},
	});
	const decoder = new TextDecoder();
	let usage: TokenUsage = {input: 0, output: 0};
	try {
		for await (const chunk of message as AsyncIterable<Uint8Array>) {
			parser.feed(decoder.decode(chunk, {stream: true}));
			for (const data of pending.splice(0)) {
				if (data === lastEvent) {
					yield {type: 'done', usage};
					return;
				}

				const json = JSON.parse(data) as UsageJson;
				usage = json.usage ? usageOf(json) : {...usage, output: usage.output + 1};
				yield {type: 'data', data};
			}
		}
	} catch {
		// The stream broke; what follows says so.
	}

	yield {type: 'broken', usage};
}

function usageOf({usage}: UsageJson): TokenUsage {
	return {input: usage?.prompt_tokens ?? 0, output: usage?.completion_tokens ?? 0};
}
