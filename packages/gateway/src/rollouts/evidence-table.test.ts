import {type ServiceId} from '@valehitch/core';
import test from 'ava';
import {testEvidence as counter} from './_test-evidence.js';
import {EvidenceTable} from './evidence-table.js';

test('repeated or delayed counters change nothing, and each run of an entry instance has its own counters', t => {
	const table = new EvidenceTable();
	table.merge([{...counter, answers: 5}]);
	table.merge([counter, {...counter, run: 'two'}]);
	t.deepEqual(table.forService(counter.service).map(({answers}) => answers), [5, 3]);
	t.deepEqual(table.forService('other' as ServiceId), []);
});
