import test from 'ava';
import {pack, unpack} from 'msgpackr';
import {testServer} from './_test-server.js';
import {decodeServerRows, encodeServerRows} from './server-rows.js';

test('records are the same after encoding and decoding', t => {
	const records = [testServer({startedAt: 1_790_000_000_000}), testServer({state: 'draining', isSilent: true, startedAt: undefined})];
	const first = encodeServerRows(records);
	encodeServerRows([testServer({sequence: 99})]);
	t.deepEqual(decodeServerRows(first), records);
});

test('a row of a later version, which has further fields, is read', t => {
	const rows = unpack(encodeServerRows([testServer()])) as ReadonlyArray<readonly unknown[]>;
	t.deepEqual(decodeServerRows(pack(rows.map(row => [...row, 'further']))), [testServer({startedAt: undefined})]);
});
