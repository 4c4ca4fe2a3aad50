import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {SettingsFile} from './settings-file.js';

const values = {
	node: 'front-1', ip: '10.1.0.40', zone: 'hall-a', listen: {front: '10.1.0.40:8227'}, portRange: [7340, 7355], seeds: ['10.1.0.43:8229'], heartbeatMs: 1200, bounds: {graceS: 8},
};

test('a change is read once, and a missing or truncated file is reported as a problem', async t => {
	const folder = await mkdtemp(path.join(tmpdir(), 'valehitch-settings-'));
	t.teardown(async () => rm(folder, {recursive: true, force: true}));
	const name = path.join(folder, 'node.yaml');
	const text = JSON.stringify(values);
	const file = new SettingsFile(name);
	const missing = await file.read();
	t.true(missing.isLeft());
	await writeFile(name, text);
	const settings = await file.read();
	t.is(settings.unsafeCoerce().name, 'front-1');
	const unchanged = await file.readIfChanged();
	t.is(unchanged.unsafeCoerce(), undefined);
	await rm(name);
	const removed = await file.readIfChanged();
	t.regex(String(removed.swap().unsafeCoerce()), /Cannot read settings from .*node\.yaml/v);
	await writeFile(name, text.slice(0, 40));
	const cut = await file.readIfChanged();
	t.true(cut.isLeft());
	await writeFile(name, text.replace('front-1', 'front-2'));
	const changed = await file.readIfChanged();
	t.is(changed.unsafeCoerce()?.name, 'front-2');
});
