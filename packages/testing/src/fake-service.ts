import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {
	type Exchange, headerOf, sendJson, sendNotRun, startFakeServer,
} from './_fake-server.js';
import {type Behaviour, defaultBehaviour} from './behaviour.js';

/** How to start a fake plain service. */
export type FakeServiceOptions = {
	/** The port on 127.0.0.1; a free one by default. */
	readonly port?: number;
	/** Members of the behaviour that differ from the defaults. */
	readonly behaviour?: Partial<Behaviour>;
};

/** One run of a plain service, as seen from outside the router. */
export type ServiceRun = {
	readonly requestId: string;
	readonly attempt: string;
	/** The `Idempotency-Key`, or an empty text. */
	readonly key: string;
	readonly method: string;
	readonly path: string;
	completed: boolean;
	cancelled: boolean;
};

/** What the fake service answers: the call as it arrived. */
export type ServiceEcho = {
	readonly method: string;
	readonly path: string;
	readonly body: string;
	/** Numbers the runs of this service from 1. */
	readonly run: number;
};

/** A running fake service. */
export type FakeService = {
	readonly address: string;
	readonly port: number;
	/** Change its members to change what the service does. */
	readonly behaviour: Behaviour;
	readonly runs: readonly ServiceRun[];
	/** Calls it works on now. */
	readonly active: () => number;
	/** Counts the runs for a request id or an idempotency key. */
	readonly countRuns: (idOrKey: string) => number;
	/** Stops listening and waits for the calls in progress. */
	readonly close: () => Promise<void>;
	/** Stops listening and destroys all connections. */
	readonly kill: () => Promise<void>;
};

type State = {
	readonly behaviour: Behaviour;
	readonly runs: ServiceRun[];
	active: number;
};

/**
Starts a fake plain service in this process; it echoes each call and counts the runs.

@param options How to start it.
@returns The running service.
@example
```ts
const labels = await startFakeService();
labels.countRuns('print-1'); // 0
```
*/
export async function startFakeService(options: FakeServiceOptions = {}): Promise<FakeService> {
	const state: State = {behaviour: {...defaultBehaviour, ...options.behaviour}, runs: [], active: 0};
	const {behaviour, runs} = state;
	const server = await startFakeServer({
		port: options.port ?? 0,
		behaviour,
		runs,
		async answer(exchange) {
			await answerCall(state, exchange);
		},
	});
	const countRuns = (idOrKey: string) => runs.filter(run => run.requestId === idOrKey || run.key === idOrKey).length;
	return {
		...server, behaviour, runs, active: () => state.active, countRuns,
	};
}

async function answerCall(state: State, exchange: Exchange): Promise<void> {
	const {request, response, signal} = exchange;
	const body = await text(request);
	if (state.behaviour.refuseNotRun) {
		sendNotRun(response, 'The fake was told to refuse');
		return;
	}

	const run: ServiceRun = {
		requestId: headerOf(request, 'valehitch-request-id'),
		attempt: headerOf(request, 'valehitch-attempt'),
		key: headerOf(request, 'idempotency-key'),
		method: request.method ?? '',
		path: request.url ?? '',
		completed: false,
		cancelled: false,
	};
	const number = state.runs.push(run);
	state.active++;
	try {
		await finishCall({
			behaviour: {...state.behaviour}, run, echo: {
				method: run.method, path: run.path, body, run: number,
			},
		}, exchange);
	} finally {
		run.cancelled = signal.aborted && !run.completed;
		state.active--;
	}
}

async function finishCall({behaviour, run, echo}: {behaviour: Behaviour; run: ServiceRun; echo: ServiceEcho}, {response, signal}: Exchange): Promise<void> {
	if (behaviour.stall) {
		await new Promise<void>(resolve => {
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
		return;
	}

	await delay(behaviour.firstTokenMilliseconds, undefined, {signal});
	if (behaviour.cutAfterTokens !== undefined) {
		response.socket?.destroy();
		return;
	}

	if (behaviour.failStatus !== undefined) {
		sendJson(response, {status: behaviour.failStatus, body: {error: {message: 'The fake was told to fail'}}});
		return;
	}

	sendJson(response, {status: 200, body: echo});
	run.completed = true;
}
