import {randomUUID} from 'node:crypto';
import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setImmediate} from 'node:timers/promises';
import {type Command} from '@valehitch/control';
import {failure, type InstanceId, toId} from '@valehitch/core';
import {parseSettings} from '@valehitch/settings';
import {openDataFolder} from '@valehitch/storage';
import test, {type ExecutionContext} from 'ava';
import bunyan from 'bunyan';
import {Left} from 'purify-ts';
import {systemClock} from '../system-clock.js';
import {Timeline} from '../timeline.js';
import {ControlHost} from './control-host.js';

const settingsText = await readFile(new URL('../../../../examples/embedded.yaml', import.meta.url), 'utf8');
const command: Command = {type: 'instance-lost', instance: toId<InstanceId>('entry-9'), at: 0};

async function startHost(t: ExecutionContext, dataPath: string): Promise<ControlHost> {
	const settings = parseSettings(settingsText, 'embedded.yaml').unsafeCoerce();
	const folder = await openDataFolder(dataPath);
	const host = new ControlHost({
		base: {
			settings,
			clock: systemClock,
			random: () => 0.5,
			log: bunyan.createLogger({name: 'test', level: 'fatal'}),
			timeline: new Timeline({
				clock: systemClock, instance: settings.instance, zone: settings.zone, write: ignore,
			}),
			newId: randomUUID,
		},
		folder: folder.unsafeCoerce(),
		ask: async () => Left(failure('no-quorum', 'The only control instance must not send a join request')),
		billsHeldUpTo: () => 0,
		send: ignore,
		onFailure(failed) {
			t.fail(failed.message);
		},
	});
	host.start();
	while (!host.isLeader) {
		await setImmediate();
	}

	return host;
}

function ignore(): void {
	// Not relevant for these tests.
}

test('a single instance bootstraps its group immediately and accepts commands that arrive during a disk sync', async t => {
	const dataPath = await mkdtemp(path.join(tmpdir(), 'valehitch-host-'));
	t.teardown(async () => rm(dataPath, {recursive: true}));
	const host = await startHost(t, dataPath);
	const results = [];
	for (let round = 0; round < 50; round++) {
		results.push(host.propose(command), host.propose(command));
		await setImmediate();
	}

	const settled = await Promise.all(results);
	t.is(settled.filter(result => result.isRight()).length, 100);
	await host.stop();
	const restarted = await startHost(t, dataPath);
	const result = await restarted.propose(command);
	t.true(result.isRight());
	await restarted.stop();
});

test('commands beyond the limit of pending proposals are rejected immediately', async t => {
	const dataPath = await mkdtemp(path.join(tmpdir(), 'valehitch-host-'));
	t.teardown(async () => rm(dataPath, {recursive: true}));
	const host = await startHost(t, dataPath);
	const results = await Promise.all(Array.from({length: 4100}, async () => host.propose(command)));
	const rejected = results.filter(result => result.isLeft()).map(result => result.extract());
	t.is(rejected.length, 4);
	t.like(rejected[0], {kind: 'overloaded', outcome: undefined});
	await host.stop();
});
