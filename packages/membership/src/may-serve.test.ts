import test from 'ava';
import {mayServe} from './may-serve.js';

test('with a lease all versions except stopped and withdrawn ones are served, and without one the setting decides', t => {
	const states = ['settled', 'plain-service', 'rolling-out', 'stopped', 'withdrawn'] as const;
	const served = (leaseValid: boolean, serve: 'settled' | 'all' | 'none'): readonly string[] =>
		states.filter(versionState => mayServe({leaseValid, serve, versionState}));
	for (const serve of ['settled', 'all', 'none'] as const) {
		t.deepEqual(served(true, serve), ['settled', 'plain-service', 'rolling-out']);
	}

	t.deepEqual(served(false, 'settled'), ['settled', 'plain-service']);
	t.deepEqual(served(false, 'all'), ['settled', 'plain-service', 'rolling-out']);
	t.deepEqual(served(false, 'none'), []);
});
