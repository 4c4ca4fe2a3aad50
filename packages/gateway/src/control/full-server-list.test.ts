import {type ServerId} from '@valehitch/core';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {ServerDirectory} from '../servers/server-directory.js';
import {type ServerRecord} from '../servers/server-record.js';
import {decodeServerRows} from '../servers/server-rows.js';
import {FullServerList} from './full-server-list.js';

const now = 1000;

function start(records: readonly ServerRecord[]) {
	const directory = new ServerDirectory({silentMilliseconds: 6000});
	for (const record of records) {
		directory.announce(record, now);
	}

	return {directory, list: new FullServerList(directory)};
}

const serverOf = (id: string, changes: Partial<ServerRecord> = {}): ServerRecord => testServer({id: id as ServerId, port: Number(id), ...changes});

test('the list is encoded once for all who ask within a second', t => {
	const {list} = start([serverOf('1'), serverOf('2')]);
	const {rows, records} = list.current(now);
	t.deepEqual(decodeServerRows(rows).map(({id}) => id), ['1', '2'] as ServerId[]);
	t.deepEqual(records, []);
	t.is(list.current(now + 500).rows, rows);
	t.not(list.current(now + 1500).rows, rows);
});

test('a server that changed since the list was encoded is told as it is now', t => {
	const {directory, list} = start([serverOf('1'), serverOf('2')]);
	const {rows} = list.current(now);
	directory.markEnded('2' as ServerId, now);
	directory.announce(serverOf('3'), now);
	const later = list.current(now + 10);
	t.is(later.rows, rows);
	t.deepEqual(later.records.map(({id, state}) => [id, state]), [['2' as ServerId, 'gone'], ['3' as ServerId, 'ready']]);
});

test('a server that was cold when the list was encoded is told with the records, also once it is warm', t => {
	const {list} = start([serverOf('1', {coldRemaining: 300}), serverOf('2')]);
	const {rows} = list.current(now);
	t.deepEqual(decodeServerRows(rows).map(({id}) => id), ['2' as ServerId]);
	t.deepEqual(list.current(now + 600).records.map(({id}) => id), ['1' as ServerId]);
});
