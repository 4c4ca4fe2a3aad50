import {type InstanceId, type ZoneId} from '@valehitch/core';
import test, {type ExecutionContext} from 'ava';
import {type WatchMessage, type WatchReply} from '../control/peer-message.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {ControlWatch} from './control-watch.js';

const control = '10.0.0.1' as InstanceId;
const reply: WatchReply = {
	run: 'one', cursor: 3, records: [], suspectCursor: 2, suspects: [], configuration: undefined, rollouts: [], rolloutDigest: '', held: 300, confirmedAgo: 100, hosts: [control], entries: [],
};

/** Starts a watch whose requests are answered by the test. */
function startWatch(t: ExecutionContext) {
	const time = {now: 1000, wokeAt: Number.NEGATIVE_INFINITY};
	const requests: Array<{readonly message: WatchMessage; readonly answer: (reply: WatchReply) => void}> = [];
	const confirmed: Array<number | undefined> = [];
	const watch = new ControlWatch({
		clock: {now: () => new Date(0), monotonic: () => time.now},
		suspension: {lastWake: () => time.wokeAt},
		log: ignore,
		metrics: createGatewayMetrics(),
		seeds: () => [control],
		watchFields: () => ({
			zone: 'hall-a' as ZoneId, configurationVersion: undefined, rolloutDigest: '', evidence: [],
		}),
		ask: async (_to, message) => new Promise(resolve => {
			requests.push({message, answer: resolve});
		}),
		onUpdate({confirmedAt}) {
			confirmed.push(confirmedAt);
		},
		onLost: ignore,
		wait: async () => waitForCallbacks(),
	});
	watch.start();
	t.teardown(() => {
		watch.stop();
		for (const {answer} of requests) {
			answer(reply);
		}
	});
	return {
		watch, time, requests, confirmed,
	};
}

function ignore(): void {
	// Intentionally empty.
}

async function waitForCallbacks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

test('a reply confirms the state as of the time its request was sent', async t => {
	const {time, requests, confirmed} = startWatch(t);
	time.now = 1400;
	requests[0]!.answer(reply);
	await waitForCallbacks();
	t.deepEqual(confirmed, [1200]);
});

test('a reply to a request sent before a suspension confirms nothing, and an urgent request is not held', async t => {
	const {watch, time, requests, confirmed} = startWatch(t);
	time.now = 1100;
	time.wokeAt = 1100;
	watch.requestConfirmation();
	t.deepEqual(requests.map(({message}) => message.isUrgent), [false, true]);
	requests[0]!.answer(reply);
	requests[1]!.answer({...reply, held: 0});
	await waitForCallbacks();
	t.deepEqual(confirmed, [undefined, 1000]);
});

test('a request includes the position from the previous reply', async t => {
	const {requests} = startWatch(t);
	requests[0]!.answer(reply);
	while (requests.length < 2) {
		await waitForCallbacks();
	}

	t.like(requests[1]!.message, {run: 'one', cursor: 3, suspectCursor: 2});
});
