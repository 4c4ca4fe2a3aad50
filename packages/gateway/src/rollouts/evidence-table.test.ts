import {type ServiceId} from '@valehitch/core';
import test from 'ava';
import {testEvidence as counter} from './_test-evidence.js';
import {EvidenceTable} from './evidence-table.js';

test('counters that come twice or late change nothing, and each run of an entry instance counts', t => {
	const table = new EvidenceTable();
	table.take([{...counter, answers: 5}]);
	table.take([counter, {...counter, run: 'two'}]);
	t.deepEqual(table.of(counter.service).map(({answers}) => answers), [5, 3]);
	t.deepEqual(table.of('other' as ServiceId), []);
});
