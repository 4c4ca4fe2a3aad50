import {once} from 'node:events';
import {request as openRequest, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type WorkspaceId} from '@valehitch/core';
import {fingerprintRequest, promptPartFingerprint} from '@valehitch/routing';
import test, {type ExecutionContext} from 'ava';
import {
	type SendAnswer, sendInOrder, type SendInOrderOptions, stallingRoute,
} from './_test-ordered-sends.js';
import {testRequest} from './_test-request.js';
import {control} from './_test-run.js';
import {type EntryContext} from './entry-context.js';

const {service} = stallingRoute.services[0]!;

/** Sends one request, whose sends are answered in the given order, and returns how many retries it has used. */
async function send(t: ExecutionContext, answers: readonly SendAnswer[], {prepare, ...options}: SendInOrderOptions) {
	let context: EntryContext | undefined;
	const countLeft = (): number => Array.from({length: 100}, () => context!.budget.withdraw(service, performance.now())).filter(Boolean).length;
	const {answers: [answer], sends} = await sendInOrder(t, answers, {
		...options,
		prepare(prepared) {
			context = prepared;
			prepare?.(prepared);
		},
	});
	// The budget of the test run: 5 retries, and 1 for each request.
	return {answer, sends, usedRetries: 6 - countLeft()};
}

/** Starts a stream that stalls before its first event, and continues as given while the request waits to be sent elsewhere. */
function stallAndContinue(continueStream: (response: ServerResponse) => void) {
	const part = {id: '5c', tokens: 800};
	let stalled: ServerResponse | undefined;
	return {
		start(response: ServerResponse): void {
			stalled = response;
			response.flushHeaders();
		},
		options: {
			serverCount: 2,
			promptParts: [part, {id: 'e4', tokens: 250}],
			async wait(): Promise<void> {
				continueStream(stalled!);
				await delay(100);
			},
			prepare({suspects}: EntryContext): void {
				for (const [process, age] of [['a', 10_000], ['b', 9000]] as const) {
					suspects.registry.recordExit(promptPartFingerprint(part.id), {process, at: Date.now() - age});
				}
			},
		},
		/** Breaks the stream. */
		breakOff(): void {
			stalled?.destroy();
		},
	};
}

test('a request that is not sent again because its stream has continued uses no retry', async t => {
	const {start, options} = stallAndContinue(response => {
		response.end('id: 1\ndata: one\n\n');
	});
	const {answer, sends, usedRetries} = await send(t, [start], options);
	t.deepEqual(answer, {status: 200, text: 'id: 1\ndata: one\n\n'});
	t.deepEqual({sends, usedRetries}, {sends: 1, usedRetries: 0});
});

test('a request whose stream breaks after it has returned without a send elsewhere uses one retry', async t => {
	const {start, options, breakOff} = stallAndContinue(response => {
		response.write('id: 1\ndata: one\n\n');
	});
	const {sends, usedRetries} = await send(t, [
		start,
		response => {
			response.end('id: 2\ndata: two\n\n');
		},
	], {
		...options,
		log(kind) {
			if (kind === 'request-returned') {
				setTimeout(breakOff, 50);
			}
		},
	});
	t.deepEqual({sends, usedRetries}, {sends: 2, usedRetries: 1});
});

test('a request that finds no server to be sent to again uses no retry', async t => {
	const {answer, sends, usedRetries} = await send(t, [
		response => {
			response.writeHead(500).end('no');
		},
	], {serverCount: 1});
	t.is(answer?.status, 500);
	t.deepEqual({sends, usedRetries}, {sends: 1, usedRetries: 0});
});

test('a request whose caller leaves before it is sent again uses no retry', async t => {
	const {start, options} = stallAndContinue(() => undefined);
	const left = new AbortController();
	const {sends, usedRetries} = await send(t, [start], {
		...options,
		async wait() {
			left.abort();
			await once(left.signal, 'request-ended');
		},
		log(kind) {
			if (kind === 'request-ended') {
				left.signal.dispatchEvent(new Event('request-ended'));
			}
		},
		async call(port) {
			const request = openRequest({port, signal: left.signal}).end();
			await t.throwsAsync(once(request, 'response'), {name: 'AbortError'});
			await once(left.signal, 'request-ended');
			await delay(50);
			return {status: 0, text: ''};
		},
	});
	t.deepEqual({sends, usedRetries}, {sends: 1, usedRetries: 0});
});

test('a send that is cancelled before it reaches its server uses no retry', async t => {
	const fingerprint = fingerprintRequest({...testRequest(), workspace: 'mills' as WorkspaceId, body: new Uint8Array()});
	let known: EntryContext | undefined;
	const {sends, usedRetries} = await send(t, [
		response => {
			response.writeHead(500).end('no');
		},
	], {
		serverCount: 2,
		prepare(context) {
			known = context;
		},
		log(kind, {send: number}) {
			if (kind === 'request-dispatched' && number === 2) {
				// The connection opens only after this microtask.
				queueMicrotask(() => {
					known?.suspects.merge([{fingerprint, ends: ['a', 'b', 'c'].map(process => ({process, at: Date.now(), isCleared: false}))}], control);
				});
			}
		},
	});
	t.deepEqual({sends, usedRetries}, {sends: 1, usedRetries: 0});
});

test('a send that is cancelled after it has reached its server uses a retry', async t => {
	let first: ServerResponse | undefined;
	const {answer, sends, usedRetries} = await send(t, [
		response => {
			first = response;
			response.write('id: 1\ndata: one\n\n');
		},
		() => {
			first?.end('id: 2\ndata: two\n\n');
		},
	], {serverCount: 2});
	t.deepEqual(answer, {status: 200, text: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'});
	t.deepEqual({sends, usedRetries}, {sends: 2, usedRetries: 1});
});
