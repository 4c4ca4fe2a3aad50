import {setTimeout as delay} from 'node:timers/promises';
import {type InstanceRun} from '@valehitch/control';
import {
	failure, type InstanceId, toId,
} from '@valehitch/core';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {startRunHeartbeat} from './start-run-heartbeat.js';

test('a run is reported at once and several times per retention period, and a failed report is signalled', async t => {
	const running = {instance: toId<InstanceId>('entry-1'), startedAt: 1000};
	const reports: InstanceRun[] = [];
	const failures: string[] = [];
	const stop = startRunHeartbeat(running, {
		retentionMilliseconds: 200,
		async report(run) {
			reports.push(run);
			return reports.length === 1 ? Left(failure('no-quorum', 'No quorum')) : Right(undefined);
		},
		onFailure({message}) {
			failures.push(message);
		},
	});
	t.deepEqual(reports, [running]);
	while (reports.length < 4) {
		await delay(10);
	}

	stop();
	const {length} = reports;
	await delay(150);
	t.is(reports.length, length);
	t.deepEqual(failures, ['No quorum']);
});
