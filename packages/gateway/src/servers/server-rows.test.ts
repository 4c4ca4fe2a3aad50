import test from 'ava';
import {pack, unpack} from 'msgpackr';
import {testServer} from './_test-server.js';
import {decodeServerRows, encodeServerRows, listedServers} from './server-rows.js';

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

test('a message lists the rows first and then the records, which override them', t => {
	const [row, record] = [testServer({startedAt: undefined}), testServer({state: 'draining', startedAt: undefined})];
	t.deepEqual(listedServers({records: [record], serverRows: encodeServerRows([row])}), [row, record]);
	t.deepEqual(listedServers({records: [record]}), [record]);
});
