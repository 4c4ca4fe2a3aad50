import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {testFreshness} from './_test-freshness.js';
import {testLease} from './_test-lease.js';

const currentFor = 1500;

/** Tracks a state that was last confirmed at 0, at an instance whose control instances reply after some time once they are asked, or not at all. */
function createFreshness(age: number, {replyAfter}: {readonly replyAfter: number | undefined}) {
	let now = 0;
	let asked = 0;
	let stale = 0;
	let repliesAt = Number.POSITIVE_INFINITY;
	let waiting: Array<{readonly until: number; readonly resolve: () => void}> = [];
	const lease = testLease();
	const freshness = testFreshness({now: () => new Date(0), monotonic: () => now}, {
		lease,
		limits: {configuration: currentFor, servers: currentFor},
		confirmState() {
			asked++;
			repliesAt = now + (replyAfter ?? Number.POSITIVE_INFINITY);
		},
		nextReply: async timeout => new Promise(resolve => {
			waiting.push({until: now + timeout, resolve});
		}),
		onStale() {
			stale++;
		},
	});
	const confirm = (): void => {
		lease.confirm(now);
		freshness.recordReply(now);
	};

	/** Moves the time to the next reply or the end of a wait. */
	const advance = (): void => {
		now = Math.min(repliesAt, ...waiting.map(({until}) => until));
		if (now >= repliesAt) {
			repliesAt = Number.POSITIVE_INFINITY;
			confirm();
		}

		const notified = waiting;
		waiting = [];
		for (const {resolve} of notified) {
			resolve();
		}
	};

	confirm();
	now = age;
	return {
		freshness,
		asked: () => asked,
		stale: () => stale,
		/** Has a request wait; returns for how long, in milliseconds. */
		async refresh(timeLeft: number): Promise<number> {
			const startedAt = now;
			const refreshed = (async () => {
				await freshness.refresh(timeLeft);
				return now;
			})();
			for (;;) {
				const endedAt = await Promise.race([refreshed, delay(5)]);
				if (endedAt !== undefined) {
					return endedAt - startedAt;
				}

				advance();
			}
		},
	};
}

for (const age of [0, 500, 1000, 1500, 2000, 2600, 3000, 4400, 6000]) {
	const isCurrent = age <= currentFor;
	test(`a state of ${age} ms is ${isCurrent ? 'used at once' : 'asked for, once for all requests'}, where control instances reply`, async t => {
		const {freshness, refresh, asked, stale} = createFreshness(age, {replyAfter: 40});
		const others = [freshness.refresh(20_000), freshness.refresh(20_000)];
		t.is(await refresh(20_000), isCurrent ? 0 : 40);
		await Promise.all(others);
		t.is(asked(), isCurrent ? 0 : 1);
		t.is(stale(), 0);
		t.deepEqual(freshness.ages, isCurrent ? {configuration: age, servers: age} : {configuration: 0, servers: 0});
	});

	test(`a state of ${age} ms is waited for once by an instance that is cut off, and used by the requests after that`, async t => {
		const {refresh, asked, stale} = createFreshness(age, {replyAfter: undefined});
		t.is(await refresh(20_000), isCurrent ? 0 : 1000);
		t.is(await refresh(20_000), 0);
		t.is(asked(), isCurrent ? 0 : 1);
		t.is(stale(), isCurrent ? 0 : 1);
	});
}

test('a request waits for a quarter of its time at most', async t => {
	const {refresh} = createFreshness(3000, {replyAfter: 900});
	t.is(await refresh(1500), 375);
});

test('a request that comes while a current state is waited for does not wait for longer than that', async t => {
	const {refresh, asked, stale} = createFreshness(3000, {replyAfter: undefined});
	t.is(await refresh(1600), 400);
	t.is(await refresh(20_000), 600);
	t.is(asked(), 1);
	t.is(stale(), 1);
});

test('an instance that was cut off asks again once its state was current and is too old anew', async t => {
	const {freshness, refresh, asked} = createFreshness(3000, {replyAfter: 2000});
	t.is(await refresh(20_000), 1000);
	freshness.recordReply(4000);
	t.is(await refresh(20_000), 0, 'The configuration is not confirmed yet');
	t.is(asked(), 1);
});

test('a request right after a start does not wait here', async t => {
	const clock = {now: () => new Date(0), monotonic: () => 0};
	const freshness = testFreshness(clock, {
		limits: {configuration: currentFor, servers: currentFor},
		confirmState() {
			t.fail();
		},
	});
	await freshness.refresh(20_000);
	t.is(freshness.ages.servers, Number.POSITIVE_INFINITY);
});
