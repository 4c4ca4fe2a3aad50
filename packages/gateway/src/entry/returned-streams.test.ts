import {once} from 'node:events';
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {type WorkspaceId} from '@valehitch/core';
import {fingerprintRequest, promptPartFingerprint} from '@valehitch/routing';
import test from 'ava';
import {type SendAnswer, sendInOrder, stallingRoute} from './_test-ordered-sends.js';
import {testRequest} from './_test-request.js';
import {control} from './_test-run.js';
import {type EntryContext} from './entry-context.js';

const pauseMilliseconds = 400;

test('a stream that breaks after it has returned to its server continues at the server whose send was cancelled', async t => {
	let first: ServerResponse | undefined;
	const {answers} = await sendInOrder(t, [
		response => {
			first = response;
			response.write('id: 1\ndata: one\n\n');
		},
		async response => {
			const cancelled = once(response, 'close');
			first?.write('id: 2\ndata: two\n\n');
			await cancelled;
			first?.destroy();
		},
		response => {
			response.end('id: 3\ndata: three\n\n');
		},
	]);
	t.deepEqual(answers, [{status: 200, text: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n'}]);
});

test('a stream that breaks as it continues does so at the server whose send was cancelled', async t => {
	let first: ServerResponse | undefined;
	const {answers} = await sendInOrder(t, [
		response => {
			first = response;
			response.write('id: 1\ndata: one\n\n');
		},
		() => {
			// Its send is cancelled before it answers.
			const socket = first?.socket;
			first?.write('id: 2\nda', () => {
				socket?.resetAndDestroy();
			});
		},
		response => {
			response.end('id: 2\ndata: two\n\n');
		},
	]);
	t.deepEqual(answers, [{status: 200, text: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'}]);
});

test('a stalled stream of a quarantined request, which is not sent again, is kept without further notice', async t => {
	const fingerprint = fingerprintRequest({...testRequest(), workspace: 'mills' as WorkspaceId, body: new Uint8Array()});
	const lines: string[] = [];
	let known: EntryContext | undefined;
	const {answers} = await sendInOrder(t, [
		async response => {
			response.write('id: 1\ndata: one\n\n');
			await delay(50);
			known?.suspects.merge([{fingerprint, ends: ['a', 'b', 'c'].map(process => ({process, at: Date.now(), isCleared: false}))}], control);
			await delay(pauseMilliseconds);
			response.end('id: 2\ndata: two\n\n');
		},
	], {
		prepare(context) {
			known = context;
		},
		log(kind) {
			lines.push(kind);
		},
	});
	t.deepEqual(answers, [{status: 200, text: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'}]);
	t.false(lines.includes('request-resumed'));
	t.false(lines.includes('request-returned'));
});

test('a stream that continues while the request waits to be sent elsewhere is forwarded', async t => {
	const part = {id: '5c', tokens: 800};
	let sends = 0;
	const {answers} = await sendInOrder(t, Array.from({length: 2}, () => async (response: ServerResponse) => {
		sends++;
		response.flushHeaders();
		await delay(2 * stallingRoute.targetGap!);
		response.write('id: 1\ndata: one\n\n');
		await delay(20);
		response.end('id: 2\ndata: two\n\n');
	}), {
		promptParts: [part, {id: 'e4', tokens: 250}],
		wait: async milliseconds => delay(milliseconds),
		prepare({suspects}) {
			const fingerprint = promptPartFingerprint(part.id);
			for (const [process, age] of [['a', 10_000], ['b', 9000]] as const) {
				suspects.registry.recordExit(fingerprint, {process, at: Date.now() - age});
			}
		},
	});
	t.deepEqual(answers, [{status: 200, text: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'}]);
	t.is(sends, 1);
});

/** A route whose streams stall only after the time that a handover takes. */
const patientRoute = {...stallingRoute, targetGap: 600};

/** Returns the answers of a server whose stream stalls, and of one that goes on once the stream has been handed over to it. */
function handOver(goOn: SendAnswer): readonly SendAnswer[] {
	let stalled: Promise<unknown> | undefined;
	return [
		response => {
			stalled = once(response, 'close');
			response.write('id: 1\ndata: one\n\n');
		},
		async response => {
			response.flushHeaders();
			await stalled;
			await goOn(response);
		},
	];
}

test('a stalled stream is closed while the first event of the server that has taken it is still to come', async t => {
	const {answers} = await sendInOrder(t, handOver(response => {
		response.end('id: 2\ndata: two\n\n');
	}), {route: patientRoute, timeout: 4000});
	t.deepEqual(answers, [{status: 200, text: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'}]);
});

test('a stream whose server goes on after the head of another one is returned to it', async t => {
	let first: ServerResponse | undefined;
	const {answers} = await sendInOrder(t, [
		response => {
			first = response;
			response.write('id: 1\ndata: one\n\n');
		},
		response => {
			response.flushHeaders();
			first?.end('id: 2\ndata: two\n\n');
		},
	], {route: patientRoute});
	t.deepEqual(answers, [{status: 200, text: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'}]);
});

test('a stream that was handed over to a server that breaks before its first event continues at a third one', async t => {
	let first: ServerResponse | undefined;
	let wasFirstOpen: boolean | undefined;
	const {answers} = await sendInOrder(t, [
		response => {
			first = response;
			response.write('id: 1\ndata: one\n\n');
		},
		async response => {
			response.flushHeaders();
			await once(first!, 'close');
			response.socket?.resetAndDestroy();
		},
		response => {
			wasFirstOpen = !first!.closed;
			response.end('id: 2\ndata: two\n\n');
		},
	], {route: patientRoute, serverCount: 3, timeout: 4000});
	t.false(wasFirstOpen);
	t.deepEqual(answers, [{status: 200, text: 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'}]);
});

test('a stream that was handed over to a server that breaks before its first event is broken off if no other server is left', async t => {
	const outcomes: unknown[] = [];
	await t.throwsAsync(sendInOrder(t, handOver(response => {
		response.socket?.resetAndDestroy();
	}), {
		route: patientRoute,
		timeout: 4000,
		log(kind, {outcome, reason}) {
			if (kind === 'request-ended') {
				outcomes.push([outcome, reason]);
			}
		},
	}), {code: 'ECONNRESET'});
	t.is(outcomes.length, 1);
	t.regex(String(outcomes[0]), /^broken-off,No server of labels is available for the request .The stream of server-\d is broken.$/v);
});
