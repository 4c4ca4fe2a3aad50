import {
	type InstanceId, type ServiceId, type VersionId,
} from '@valehitch/core';
import test from 'ava';
import {type RouteId} from '../configuration/routing-configuration.js';
import {EvidenceTable} from './evidence-table.js';
import {type VersionEvidence} from './version-evidence.js';

const counter: VersionEvidence = {
	entry: 'entry-1' as InstanceId, run: 'one', service: 'summaries' as ServiceId, version: 'v2' as VersionId, route: 'drafts' as RouteId, model: '', answers: 3, failures: 1, latencySum: 90,
};

test('counters that come twice or late change nothing, and each run of an entry instance counts', t => {
	const table = new EvidenceTable();
	table.take([{...counter, answers: 5}]);
	table.take([counter, {...counter, run: 'two'}]);
	t.deepEqual(table.of(counter.service).map(({answers}) => answers), [5, 3]);
	t.deepEqual(table.of('other' as ServiceId), []);
});
