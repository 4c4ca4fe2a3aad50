import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {
	type Exchange, headerOf, sendJson, sendNotRun, startFakeServer,
} from './_fake-server.js';
import {type Behaviour, defaultBehaviour} from './behaviour.js';

/** Options for `startFakeService`. */
export type FakeServiceOptions = {
	/** The port on 127.0.0.1; chosen by the operating system by default. */
	readonly port?: number;
	/** Overrides of the default behaviour. */
	readonly behaviour?: Partial<Behaviour>;
};

/** A call that the service executed. */
export type ServiceRun = {
	readonly requestId: string;
	readonly attempt: string;
	/** The `Idempotency-Key`, or an empty string. */
	readonly key: string;
	readonly method: string;
	readonly path: string;
	completed: boolean;
	cancelled: boolean;
};

/** The response body of the fake service: the call as received. */
export type ServiceEcho = {
	readonly method: string;
	readonly path: string;
	readonly body: string;
	/** Sequence number of the run, starting at 1. */
	readonly run: number;
};

/** A running fake service. */
export type FakeService = {
	readonly address: string;
	readonly port: number;
	/** The current behaviour; assign to its members to change it. */
	readonly behaviour: Behaviour;
	readonly runs: readonly ServiceRun[];
	/** Returns the number of calls in progress. */
	readonly active: () => number;
	/** Counts the runs with a request id or an idempotency key. */
	readonly countRuns: (idOrKey: string) => number;
	/** Stops listening and waits for the calls in progress. */
	readonly close: () => Promise<void>;
	/** Stops listening and closes all connections immediately. */
	readonly kill: () => Promise<void>;
};

type State = {
	readonly behaviour: Behaviour;
	readonly runs: ServiceRun[];
	active: number;
};

/**
Starts a fake plain service in this process, which echoes each call and records its runs.

@param options The port and the behaviour.
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
			await handleCall(state, exchange);
		},
	});
	const countRuns = (idOrKey: string) => runs.filter(run => run.requestId === idOrKey || run.key === idOrKey).length;
	return {
		...server, behaviour, runs, active: () => state.active, countRuns,
	};
}

async function handleCall(state: State, exchange: Exchange): Promise<void> {
	const {request, response, signal} = exchange;
	const body = await text(request);
	if (state.behaviour.refuseNotRun) {
		sendNotRun(response, 'The fake service is configured to refuse requests');
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
		await respond({
			behaviour: {...state.behaviour}, run, echo: {
				method: run.method, path: run.path, body, run: number,
			},
		}, exchange);
	} finally {
		run.cancelled = signal.aborted && !run.completed;
		state.active--;
	}
}

async function respond({behaviour, run, echo}: {behaviour: Behaviour; run: ServiceRun; echo: ServiceEcho}, {response, signal}: Exchange): Promise<void> {
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
		sendJson(response, {status: behaviour.failStatus, body: {error: {message: 'The fake service is configured to fail'}}});
		return;
	}

	sendJson(response, {status: 200, body: echo});
	run.completed = true;
}
