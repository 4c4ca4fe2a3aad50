import {type InstanceId, type ZoneId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {type WatchMessage, type WatchReply} from '../control/peer-message.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {ControlWatch} from './control-watch.js';

const control = '10.0.0.1' as InstanceId;
const reply: WatchReply = {
	run: 'one', cursor: 3, records: [], suspectCursor: 2, suspects: [], configuration: undefined, rollouts: [], rolloutDigest: '', held: 300, confirmedAgo: 100, hosts: [control], entries: [],
};

/** A watch whose questions are answered by hand. */
function startWatch(t: ExecutionContext) {
	const time = {now: 1000, wokeAt: Number.NEGATIVE_INFINITY};
	const asked: Array<{readonly message: WatchMessage; readonly answer: (reply: WatchReply) => void}> = [];
	const confirmed: Array<number | undefined> = [];
	const watch = new ControlWatch({
		clock: {now: () => new Date(0), monotonic: () => time.now},
		suspension: {lastWake: () => time.wokeAt},
		log: ignore,
		metrics: createGatewayMetrics(),
		seeds: () => [control],
		question: () => ({
			zone: 'hall-a' as ZoneId, configurationVersion: undefined, rolloutDigest: '', evidence: [],
		}),
		ask: async (_to, message) => new Promise(resolve => {
			asked.push({message, answer: resolve});
		}),
		onNews({confirmedAt}) {
			confirmed.push(confirmedAt);
		},
		onLost: ignore,
		wait: async () => settled(),
	});
	watch.start();
	t.teardown(() => {
		watch.stop();
		for (const {answer} of asked) {
			answer(reply);
		}
	});
	return {
		watch, time, asked, confirmed,
	};
}

function ignore(): void {
	// Nobody reads it.
}

async function settled(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

test('a reply confirms from the time of its question', async t => {
	const {time, asked, confirmed} = startWatch(t);
	time.now = 1400;
	asked[0]!.answer(reply);
	await settled();
	t.deepEqual(confirmed, [1200]);
});

test('a reply to a question from before a suspension confirms nothing, and an urgent one is not held', async t => {
	const {watch, time, asked, confirmed} = startWatch(t);
	time.now = 1100;
	time.wokeAt = 1100;
	watch.confirm();
	t.deepEqual(asked.map(({message}) => message.isUrgent), [false, true]);
	asked[0]!.answer(reply);
	asked[1]!.answer({...reply, held: 0});
	await settled();
	t.deepEqual(confirmed, [undefined, 1000]);
});

test('a question says what was learned by the one before', async t => {
	const {asked} = startWatch(t);
	asked[0]!.answer(reply);
	while (asked.length < 2) {
		await settled();
	}

	t.like(asked[1]!.message, {run: 'one', cursor: 3, suspectCursor: 2});
});
