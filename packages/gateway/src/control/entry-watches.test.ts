import {type InstanceId, type ServerId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {decodeServerRows} from '../servers/server-rows.js';
import {startTestControlServices} from './_test-control-node.js';
import {type EntryUpdate} from './entry-watches.js';
import {type WatchMessage, type WatchReply} from './peer-message.js';

const run = 'one';
const message: WatchMessage = {
	type: 'watch', isUrgent: false, zone: 'hall-a' as ZoneId, configurationVersion: undefined, run: '', cursor: 0, suspectCursor: 0,
	rolloutDigest: '', evacuationRevision: 0, evidence: [], limitCursor: 0,
};

function start(update: Partial<EntryUpdate> = {}) {
	return startTestControlServices({
		run, update, clock: {now: () => new Date(0), monotonic: () => 1000}, others: () => [], ask: async () => undefined,
		saved: {read: async () => [], write: async () => true},
	});
}

const entryOf = (index: number): InstanceId => `10.0.0.${index}` as InstanceId;
const serverOf = (index: number) => testServer({id: `server-${index}` as ServerId, port: index});

async function runPendingTasks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

test('a burst of changes does not cost an answer for each change and entry instance', async t => {
	const {news, watches} = start();
	const [polls, changes] = [100, 40];
	const state = {replies: 0, isPolling: true};
	const pollContinuously = async (index: number): Promise<void> => {
		let reply: WatchReply | undefined;
		while (state.isPolling) {
			reply = await watches.answer(entryOf(index), {
				...message, run: reply?.run ?? '', cursor: reply?.cursor ?? 0, relayRevision: reply?.relayRevision,
			});
			state.replies++;
		}
	};

	const stop = (): void => {
		state.isPolling = false;
		watches.answerPending();
	};

	t.teardown(stop);
	const polling = Array.from({length: polls}, async (_, index) => pollContinuously(index));
	await runPendingTasks();
	state.replies = 0;
	for (let index = 0; index < changes; index++) {
		void news.announce(serverOf(index));
		watches.tellNews();
		await runPendingTasks();
	}

	t.true(state.replies >= polls, 'The first change is told at once');
	t.true(state.replies < changes * polls / 2, `${state.replies} replies`);
	stop();
	await Promise.all(polling);
	const {records} = await watches.answer(entryOf(0), {...message, isUrgent: true});
	t.is(records.length, changes);
});

test('a burst of changes does not cost an answer for each change and entry instance either when each comes between two polls', async t => {
	const {news, watches} = start();
	const [polls, changes] = [100, 40];
	const cursors = Array.from({length: polls}, () => 0);
	const waiting = new Set(cursors.keys());
	let replies = 0;
	const poll = async (index: number): Promise<void> => {
		waiting.delete(index);
		const {cursor} = await watches.answer(entryOf(index), {...message, run, cursor: cursors[index]!});
		replies++;
		cursors[index] = cursor;
		waiting.add(index);
	};

	t.teardown(() => {
		watches.answerPending();
	});
	for (let change = 0; change < changes; change++) {
		void news.announce(serverOf(change));
		watches.tellNews();
		for (const index of waiting) {
			void poll(index);
		}

		await runPendingTasks();
	}

	t.true(replies > 0);
	t.true(replies < changes * polls / 2, `${replies} replies`);
});

test('an entry instance that reads rows gets the full list as rows, one of the version before as records', async t => {
	const {news, watches} = start();
	await news.announce(serverOf(1));
	const former = await watches.answer(entryOf(1), message);
	t.deepEqual(former.records, [serverOf(1)]);
	t.is(former.serverRows, undefined);
	const next = await watches.answer(entryOf(2), {...message, takesServerRows: true});
	t.deepEqual(next.records, []);
	t.like(decodeServerRows(next.serverRows!)[0], serverOf(1));
	await news.announce(serverOf(2));
	const changed = await watches.answer(entryOf(2), {
		...message, takesServerRows: true, run, cursor: next.cursor,
	});
	t.deepEqual(changed.records, [serverOf(2)]);
	t.is(changed.serverRows, undefined);
});

test('a control instance without a confirmed state does not answer polls at once because it lacks their rollouts', async t => {
	const isAnsweredAtOnce = async (confirmedAt: number | undefined): Promise<boolean> => {
		const {watches} = start({confirmedAt});
		let isAnswered = false;
		const answer = (async () => {
			await watches.answer(entryOf(1), {...message, run, rolloutDigest: 'mills 2.0 canary'});
			isAnswered = true;
		})();
		await runPendingTasks();
		const wasAnswered = isAnswered;
		watches.answerPending();
		await answer;
		return wasAnswered;
	};

	t.true(await isAnsweredAtOnce(900));
	t.false(await isAnsweredAtOnce(undefined));
});

test('a change of a large configuration does not cost each entry instance the whole document', async t => {
	const documentOf = (version: number) => ({version, document: Array.from({length: 5000}, (_, index) => `{"route":${index === 9 ? version : index}}`).join(',')});
	const update: {configuration: EntryUpdate['configuration']} = {configuration: documentOf(1)};
	const {watches} = start(update);
	const poll = {...message, run, takesEncodedConfiguration: true as const};
	const first = await watches.answer(entryOf(1), poll);
	t.is(first.encodedConfiguration?.base, undefined);
	t.is(first.encodedConfiguration?.version, 1);
	update.configuration = documentOf(2);
	const next = await watches.answer(entryOf(1), {...poll, configurationVersion: 1});
	t.is(next.configuration, undefined);
	t.is(next.encodedConfiguration?.base, 1);
	t.true(next.encodedConfiguration!.parts.length < 200);
	const earlier = await watches.answer(entryOf(2), {...message, run, configurationVersion: 1});
	t.deepEqual(earlier.configuration, documentOf(2));
});
