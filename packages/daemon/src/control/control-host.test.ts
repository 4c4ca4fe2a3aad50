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

async function startHost(t: ExecutionContext, place: string): Promise<ControlHost> {
	const settings = parseSettings(settingsText, 'embedded.yaml').unsafeCoerce();
	const folder = await openDataFolder(place);
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
		ask: async () => Left(failure('no-quorum', 'Got a question, wanted none from the only instance')),
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
	// Nothing to note.
}

test('the only instance founds its group at once, and commands that arrive during a sync are taken', async t => {
	const place = await mkdtemp(path.join(tmpdir(), 'valehitch-host-'));
	t.teardown(async () => rm(place, {recursive: true}));
	const host = await startHost(t, place);
	const results = [];
	for (let wave = 0; wave < 50; wave++) {
		results.push(host.propose(command), host.propose(command));
		await setImmediate();
	}

	const settled = await Promise.all(results);
	t.is(settled.filter(result => result.isRight()).length, 100);
	await host.stop();
	const again = await startHost(t, place);
	const after = await again.propose(command);
	t.true(after.isRight());
	await again.stop();
});

test('commands beyond the bound of those that wait are refused at once', async t => {
	const place = await mkdtemp(path.join(tmpdir(), 'valehitch-host-'));
	t.teardown(async () => rm(place, {recursive: true}));
	const host = await startHost(t, place);
	const results = await Promise.all(Array.from({length: 4100}, async () => host.propose(command)));
	const refused = results.filter(result => result.isLeft()).map(result => result.extract());
	t.is(refused.length, 4);
	t.like(refused[0], {kind: 'overloaded', outcome: undefined});
	await host.stop();
});
