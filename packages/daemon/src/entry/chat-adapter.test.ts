import {
	type ModelId, type ServerId, type VersionId, failure,
} from '@valehitch/core';
import test from 'ava';
import {Left} from 'purify-ts';
import {createLinks} from './_test-links.js';
import {listen} from './_test-listen.js';
import {type AttemptOutput} from './attempt-output.js';
import {ChatAdapter, type ChatAdapterOptions} from './chat-adapter.js';
import {type ChatPlan} from './plan-chat.js';

const clock = {monotonic: () => 0, now: () => new Date(0)};

test('a chat request that may no longer be sent when its connection is open is withheld, and its server has not failed', async t => {
	const failures: boolean[] = [];
	let received = 0;
	const address = await listen(t, (_request, response) => {
		received++;
		response.end();
	});
	const links = createLinks();
	const context = {
		clock,
		settings: {timing: {stallMilliseconds: 1000}, limits: {bodyBytes: 1000}},
		connections: {links: {of: () => links}, relays: {choose: () => undefined}},
		activity: {recordData: () => undefined},
		overdue: {begin: () => () => ({firstReviewAfter: 60_000, recordAnswered: () => undefined, recordAbandoned: () => undefined})},
		decisions: {get: () => undefined, recordAttempt: () => undefined},
		serverSelector: {
			recordOutcome(_server: ServerId, failed: boolean) {
				failures.push(failed);
			},
		},
	};
	const plan = {
		requestId: 'r-1', workspace: 'yard', body: {messages: [{role: 'user', content: 'coil'}]}, facts: {stream: true}, rule: {name: 'any', priority: 1},
	};
	const adapter = new ChatAdapter(plan as unknown as ChatPlan, {
		context: context as unknown as ChatAdapterOptions['context'], deadline: 1000, replan: () => Left(failure('forbidden', 'No other version')),
	});
	const outputs: Array<AttemptOutput['type']> = [];
	for await (const {type} of adapter.send({
		dispatch: {
			type: 'dispatch',
			attempt: 1,
			server: 'engine-1' as ServerId,
			target: {type: 'version', model: 'tag-small' as ModelId, version: '1.0' as VersionId},
			purpose: 'first',
			resumeFrom: 0,
			freshConnection: false,
		},
		address,
		signal: new AbortController().signal,
		mayStillSend: () => false,
		partialAnswer: {text: '', tokens: 0},
	})) {
		outputs.push(type);
	}

	t.deepEqual(outputs, ['withheld']);
	t.is(received, 0);
	t.deepEqual(failures, []);
});
