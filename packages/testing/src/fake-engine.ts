import {type IncomingMessage} from 'node:http';
import {text} from 'node:stream/consumers';
import {setInterval, setTimeout as delay} from 'node:timers/promises';
import * as z from 'zod';
import {
	type Exchange, headerOf, sendJson, sendNotRun, startFakeServer,
} from './_fake-server.js';
import {wireNames} from './_wire-names.js';
import {type Behaviour, defaultBehaviour} from './behaviour.js';
import {countPromptTokens, generateFakeTokens} from './fake-answer.js';
import {FakeEngineOrders} from './fake-engine-orders.js';
import {type EngineRun, type FakeEngine, type FakeEngineOptions} from './fake-engine-types.js';

export type * from './fake-engine-types.js';

type State = {
	readonly models: Set<string>;
	readonly behaviour: Behaviour;
	readonly runs: EngineRun[];
	active: number;
};

type ChatBody = z.infer<typeof chatSchema>;

/** A response in progress. */
type ResponseJob = Exchange & {
	readonly behaviour: Behaviour;
	readonly run: EngineRun;
	readonly id: string;
	readonly versionKey: string;
	readonly tokens: readonly string[];
	readonly usage: Readonly<Record<string, number>>;
};

/** The interval between tokens and the function that receives them. */
type TokenPacing = {
	readonly milliseconds: number;
	readonly signal: AbortSignal;
	readonly onToken: ((token: string) => void) | undefined;
};

const chatSchema = z.object({
	model: z.string(),
	messages: z.array(z.object({role: z.string(), content: z.string()})),
	stream: z.boolean().default(false),
	[wireNames.maxTokens]: z.int().min(0).optional(),
	resume: z.object({text: z.string()}).optional(),
});

/**
Starts a fake model engine in this process.

@param options The loaded versions, the port and the behaviour.
@returns The running engine.
@example
```ts
const engine = await startFakeEngine({models: ['tag-small@1.0']});
engine.behaviour.stall = true;
await engine.kill();
```
*/
export async function startFakeEngine(options: FakeEngineOptions): Promise<FakeEngine> {
	const state: State = {
		models: new Set(options.models), behaviour: {...defaultBehaviour, ...options.behaviour}, runs: [], active: 0,
	};
	const {behaviour, runs, models} = state;
	const checksFencing = options.checksFencing ?? true;
	const orders = new FakeEngineOrders({models, checksFencing});
	const server = await startFakeServer({
		port: options.port ?? 0,
		behaviour,
		runs,
		async answer(exchange) {
			const handled = await orders.handle(exchange);
			if (!handled) {
				await handleChat(state, exchange);
			}
		},
	});
	return {
		...server, behaviour, runs, orders: orders.executed, models: () => [...models], checksFencing, active: () => state.active,
	};
}

async function handleChat(state: State, exchange: Exchange): Promise<void> {
	const {request, response} = exchange;
	if (request.method !== 'POST' || request.url !== '/v1/chat/completions') {
		sendJson(response, {status: 404, body: {error: {message: 'Not found; the only route is POST /v1/chat/completions'}}});
		return;
	}

	const body = chatSchema.parse(JSON.parse(await text(request)));
	if (state.behaviour.refuseNotRun || !state.models.has(body.model)) {
		sendNotRun(response, `Model ${body.model} is not loaded on this engine`);
		return;
	}

	const run = createRun(request, body);
	state.runs.push(run);
	state.active++;
	try {
		await runJob(createJob({behaviour: scaleDelays(state), run, body}, exchange));
	} finally {
		run.cancelled = exchange.signal.aborted && !run.completed;
		state.active--;
	}
}

/** Scales the delays as a batching engine does: in proportion to the requests in progress once the batch is full. */
function scaleDelays({behaviour, active}: State): Behaviour {
	const slowdown = Math.max(1, active / (behaviour.fullSpeedRequests ?? Infinity));
	return {
		...behaviour,
		firstTokenMilliseconds: behaviour.firstTokenMilliseconds * slowdown,
		tokenMilliseconds: behaviour.tokenMilliseconds * slowdown,
	};
}

function createRun(request: IncomingMessage, body: ChatBody): EngineRun {
	const [model = '', version = ''] = body.model.split('@');
	return {
		requestId: headerOf(request, 'valehitch-request-id'),
		attempt: headerOf(request, 'valehitch-attempt'),
		model,
		version,
		streamed: body.stream,
		completed: false,
		cancelled: false,
	};
}

function createJob({behaviour, run, body}: {behaviour: Behaviour; run: EngineRun; body: ChatBody}, exchange: Exchange): ResponseJob {
	const tokenCount = Math.min(body[wireNames.maxTokens] ?? behaviour.answerTokens, behaviour.answerTokens);
	const tokens = generateFakeTokens({
		version: body.model, messages: body.messages, tokens: tokenCount, resumeText: body.resume?.text,
	});
	const promptTokens = countPromptTokens(body.messages) + (body.resume ? countPromptTokens([{role: 'assistant', content: body.resume.text}]) : 0);
	return {
		...exchange,
		behaviour,
		run,
		id: `chatcmpl-${run.requestId}`,
		versionKey: body.model,
		tokens,
		usage: {
			[wireNames.promptTokens]: promptTokens,
			[wireNames.completionTokens]: tokens.length,
			[wireNames.totalTokens]: promptTokens + tokens.length,
		},
	};
}

async function runJob(job: ResponseJob): Promise<void> {
	const {behaviour, response, signal} = job;
	if (behaviour.stall) {
		await waitForAbort(signal);
		return;
	}

	if (behaviour.failStatus !== undefined) {
		await delay(behaviour.firstTokenMilliseconds, undefined, {signal});
		sendJson(response, {status: behaviour.failStatus, body: {error: {message: 'The fake engine is configured to fail'}}});
		return;
	}

	const respond = job.run.streamed ? streamResponse : sendUnstreamed;
	await respond(job);
}

async function sendUnstreamed(job: ResponseJob): Promise<void> {
	const {response, run, tokens, usage, versionKey, id} = job;
	await generate(job);
	if (closeIfCut(job)) {
		return;
	}

	const message = {role: 'assistant', content: tokens.join('')};
	const choices = [{index: 0, message, [wireNames.finishReason]: 'stop'}];
	sendJson(response, {
		status: 200,
		body: {
			id, object: 'chat.completion', model: versionKey, choices, usage,
		},
	});
	run.completed = true;
}

async function streamResponse(job: ResponseJob): Promise<void> {
	const {response, run, usage} = job;
	response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
	response.flushHeaders();
	await generate(job, token => {
		response.write(formatChunk(job, {choices: [{index: 0, delta: {content: token}}]}));
	});
	if (closeIfCut(job)) {
		return;
	}

	response.write(formatChunk(job, {choices: [{index: 0, delta: {}, [wireNames.finishReason]: 'stop'}], usage}));
	response.end('data: [DONE]\n\n');
	run.completed = true;
}

function formatChunk({id, versionKey}: ResponseJob, members: Readonly<Record<string, unknown>>): string {
	return `data: ${JSON.stringify({
		id, object: 'chat.completion.chunk', model: versionKey, ...members,
	})}\n\n`;
}

async function generate({behaviour, tokens, signal}: ResponseJob, onToken?: (token: string) => void): Promise<void> {
	const pending = tokens.slice(0, behaviour.cutAfterTokens);
	await delay(behaviour.firstTokenMilliseconds, undefined, {signal});
	if (behaviour.tokenMilliseconds === 0) {
		for (const token of pending) {
			onToken?.(token);
		}

		return;
	}

	const [first, ...later] = pending;
	if (first === undefined) {
		return;
	}

	onToken?.(first);
	await generatePaced(later, {milliseconds: behaviour.tokenMilliseconds, signal, onToken});
}

async function generatePaced(tokens: readonly string[], {milliseconds, signal, onToken}: TokenPacing): Promise<void> {
	const remaining = [...tokens];
	if (remaining.length === 0) {
		return;
	}

	for await (const queue of setInterval(milliseconds, remaining, {signal})) {
		const token = queue.shift() ?? '';
		onToken?.(token);
		if (remaining.length === 0) {
			return;
		}
	}
}

function closeIfCut({behaviour, tokens, response}: ResponseJob): boolean {
	if (behaviour.cutAfterTokens === undefined || behaviour.cutAfterTokens >= tokens.length) {
		return false;
	}

	response.socket?.destroySoon();
	return true;
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}
