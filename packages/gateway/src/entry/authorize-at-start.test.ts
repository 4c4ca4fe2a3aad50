import test from 'ava';
import {testConfiguration} from '../configuration/_test-configuration.js';
import {RouteTable} from '../configuration/route-table.js';
import {testRequest} from './_test-request.js';
import {authorizeAtStart} from './authorize-at-start.js';
import {testLease} from './_test-lease.js';

/** An instance that has just started, or woken; each wait for news takes 100 ms and brings what is given. */
async function askAfterStart(news: ReadonlyArray<'configuration' | 'confirmation'>, {patience = 4000, hasWoken = false} = {}): Promise<readonly [outcome: string, waited: number]> {
	let now = 0;
	let wokeAt = Number.NEGATIVE_INFINITY;
	const lease = testLease({duration: 4500, suspension: {lastWake: () => wokeAt}});
	const left = [...news];
	const configured = new RouteTable(testConfiguration());
	let table = hasWoken ? configured : undefined;
	if (hasWoken) {
		lease.confirm(-100);
		wokeAt = now;
	}

	const authorized = await authorizeAtStart(testRequest({patience}), {
		arrivedAt: 0,
		context: {
			lease,
			table: () => table,
			clock: {now: () => new Date(0), monotonic: () => now},
			async nextNews(timeout) {
				now += Math.min(timeout, 100);
				const next = left.shift();
				table = next === 'configuration' ? configured : table;
				if (next === 'confirmation') {
					lease.confirm(now);
				}
			},
		},
	});
	return [authorized.caseOf<string>({Left: ({kind}) => kind, Right: ({workspace}) => workspace?.id ?? 'public'}), now];
}

test('a request that comes right after a start waits until the configuration is there and confirmed', async t => {
	t.deepEqual(await askAfterStart(['configuration', 'confirmation']), ['mills', 200]);
});

test('a request waits no longer than a part of its patience', async t => {
	t.deepEqual(await askAfterStart(['configuration'], {patience: 1000}), ['configuration-expired', 250]);
	t.deepEqual(await askAfterStart([], {patience: 1000}), ['no-configuration', 250]);
	t.deepEqual(await askAfterStart([], {patience: 60_000}), ['no-configuration', 1000]);
});

test('a request that comes as the machine wakes waits for the next confirmation', async t => {
	t.deepEqual(await askAfterStart(['confirmation'], {hasWoken: true}), ['mills', 100]);
});
