import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {blockEventLoop, connectWithPendingInput} from './_test-event-loop.js';
import {InactivityTimer} from './inactivity-timer.js';

const timeout = 50;
const clock = {monotonic: () => performance.now()};

async function expiry(setUp: (timer: InactivityTimer) => void): Promise<number> {
	return new Promise(resolve => {
		const timer = new InactivityTimer({
			timeout,
			clock,
			onExpired() {
				resolve(clock.monotonic());
			},
		});
		setUp(timer);
	});
}

test('activity postpones the end to one timeout after it', async t => {
	let touchedAt = 0;
	const expiredAt = await expiry(timer => {
		timer.start(clock.monotonic());
		setTimeout(() => {
			touchedAt = clock.monotonic();
			timer.touch(touchedAt);
		}, timeout / 2);
	});
	t.true(expiredAt >= touchedAt + timeout);
});

test('input received while the event loop was blocked is activity', async t => {
	let inputAt = 0;
	const expiredAt = await expiry(timer => {
		timer.start(clock.monotonic());
		void connectWithPendingInput(() => {
			inputAt = clock.monotonic();
			timer.touch(inputAt);
		}).then(connection => {
			t.teardown(connection.close);
			timer.start(clock.monotonic());
			blockEventLoop(4 * timeout);
		});
	});
	t.true(inputAt > 0);
	t.true(expiredAt >= inputAt + timeout);
});

test('a timer that is stopped or has no limit does not expire, and one that is started again runs for the whole timeout', async t => {
	let expired = 0;
	const count = (): void => {
		expired++;
	};

	const unlimited = new InactivityTimer({timeout: 0, clock, onExpired: count});
	unlimited.start(clock.monotonic());
	const stopped = new InactivityTimer({timeout, clock, onExpired: count});
	stopped.start(clock.monotonic());
	stopped.stop();
	stopped.touch(clock.monotonic());
	await delay(3 * timeout);
	t.is(expired, 0);
	let startedAt = 0;
	const expiredAt = await expiry(timer => {
		timer.start(clock.monotonic());
		timer.stop();
		setTimeout(() => {
			startedAt = clock.monotonic();
			timer.start(startedAt);
		}, timeout);
	});
	t.true(expiredAt >= startedAt + timeout);
});

test('a timer that has expired and is extended expires again with the whole time without activity, and runs for the rest after activity', async t => {
	const expirations: number[] = [];
	let touchedAt = 0;
	await new Promise<void>(resolve => {
		const timer = new InactivityTimer({
			timeout,
			clock,
			onExpired(inactive) {
				expirations.push(inactive);
				if (expirations.length === 3) {
					resolve();
					return;
				}

				timer.extend(10);
				if (expirations.length === 2) {
					touchedAt = clock.monotonic();
					timer.touch(touchedAt);
				}
			},
		});
		timer.start(clock.monotonic());
	});
	t.true(expirations[0]! >= timeout);
	t.true(expirations[1]! >= expirations[0]! + 9);
	t.true(clock.monotonic() >= touchedAt + timeout);
});
