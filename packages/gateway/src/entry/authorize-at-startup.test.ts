import test from 'ava';
import {testConfiguration} from '../configuration/_test-configuration.js';
import {RouteTable} from '../configuration/route-table.js';
import {testRequest} from './_test-request.js';
import {authorizeAtStartup} from './authorize-at-startup.js';
import {testLease} from './_test-lease.js';

/** Authorizes a request at an instance that has just started or resumed. Each wait for a reply takes 100 ms and yields the next of `replies`. */
async function authorizeAfterStart(replies: ReadonlyArray<'configuration' | 'confirmation'>, {timeout = 4000, wasSuspended = false} = {}): Promise<readonly [outcome: string, waited: number]> {
	let now = 0;
	let wokeAt = Number.NEGATIVE_INFINITY;
	const lease = testLease({duration: 4500, suspension: {lastWake: () => wokeAt}});
	const remaining = [...replies];
	const configured = new RouteTable(testConfiguration());
	let table = wasSuspended ? configured : undefined;
	if (wasSuspended) {
		lease.confirm(-100);
		wokeAt = now;
	}

	const authorized = await authorizeAtStartup(testRequest({timeout}), {
		arrivedAt: 0,
		context: {
			lease,
			table: () => table,
			clock: {now: () => new Date(0), monotonic: () => now},
			async nextReply(timeout) {
				now += Math.min(timeout, 100);
				const next = remaining.shift();
				table = next === 'configuration' ? configured : table;
				if (next === 'confirmation') {
					lease.confirm(now);
				}
			},
		},
	});
	return [authorized.caseOf<string>({Left: ({kind}) => kind, Right: ({workspace}) => workspace?.id ?? 'public'}), now];
}

test('a request right after a start waits until a configuration is received and confirmed', async t => {
	t.deepEqual(await authorizeAfterStart(['configuration', 'confirmation']), ['mills', 200]);
});

test('a request waits only for a share of its timeout', async t => {
	t.deepEqual(await authorizeAfterStart(['configuration'], {timeout: 1000}), ['configuration-expired', 250]);
	t.deepEqual(await authorizeAfterStart([], {timeout: 1000}), ['no-configuration', 250]);
	t.deepEqual(await authorizeAfterStart([], {timeout: 60_000}), ['no-configuration', 1000]);
});

test('a request right after the machine resumes waits for the next confirmation', async t => {
	t.deepEqual(await authorizeAfterStart(['confirmation'], {wasSuspended: true}), ['mills', 100]);
});
