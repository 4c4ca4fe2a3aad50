import test from 'ava';
import {testConfiguration} from '../configuration/_test-configuration.js';
import {RouteTable} from '../configuration/route-table.js';
import {testRequest} from './_test-request.js';
import {authorizeAtStart} from './authorize-at-start.js';
import {ConfigurationLease} from './configuration-lease.js';

/** An instance that has just started; each wait for news takes 100 ms and brings what is given. */
async function askAfterStart(news: ReadonlyArray<'configuration' | 'confirmation'>, patience = 4000): Promise<readonly [outcome: string, waited: number]> {
	const lease = new ConfigurationLease({duration: 4500});
	const left = [...news];
	let now = 0;
	let table: RouteTable | undefined;
	const authorized = await authorizeAtStart(testRequest({patience}), {
		arrivedAt: 0,
		context: {
			lease,
			table: () => table,
			clock: {now: () => new Date(0), monotonic: () => now},
			async nextNews(timeout) {
				now += Math.min(timeout, 100);
				const next = left.shift();
				table = next === 'configuration' ? new RouteTable(testConfiguration()) : table;
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
	t.deepEqual(await askAfterStart(['configuration'], 1000), ['configuration-expired', 250]);
	t.deepEqual(await askAfterStart([], 1000), ['no-configuration', 250]);
	t.deepEqual(await askAfterStart([], 60_000), ['no-configuration', 1000]);
});
