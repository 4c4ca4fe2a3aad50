import test from 'ava';
import {testEvidence} from './_test-evidence.js';
import {EvidenceDelta} from './evidence-delta.js';

test('changed counters are selected, and all counters again after an interval', t => {
	const delta = new EvidenceDelta();
	const other = {...testEvidence, version: 'v1' as typeof testEvidence.version};
	t.deepEqual(delta.takeChanged([testEvidence, other], 1000), [testEvidence, other]);
	t.deepEqual(delta.takeChanged([testEvidence, other], 1400), []);
	const grown = {...testEvidence, answers: testEvidence.answers + 1};
	t.deepEqual(delta.takeChanged([grown, other], 1800), [grown]);
	t.deepEqual(delta.takeChanged([grown, other], 3000), [grown, other]);
});
