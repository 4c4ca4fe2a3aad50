import {spawnSync} from 'node:child_process';
import process from 'node:process';
import test from 'ava';
import {chooseEngineFlags} from './choose-engine-flags.js';

test('functions are optimized later on a small share of a core only', t => {
	t.is(chooseEngineFlags({processorShare: 0.3}).length, 1);
	t.deepEqual(chooseEngineFlags({processorShare: 0.7}), []);
});

// An unknown flag is ignored without an error.
test('the engine knows the flags', t => {
	const known = spawnSync(process.execPath, ['--v8-options'], {encoding: 'utf8'}).stdout;
	for (const flag of chooseEngineFlags({processorShare: 0.3})) {
		t.true(known.includes(flag.split('=', 1)[0]!));
	}
});
