import test from 'ava';
import {RunProgress} from './run-progress.js';

test('times count from the arrival, and the first dispatch and the first and last event are kept', t => {
	const progress = new RunProgress(1000);
	progress.recordHold(40);
	progress.recordDispatch(1050);
	progress.recordDispatch(1900);
	progress.recordEvents(2, 1100);
	progress.recordEvents(1, 1300);
	progress.recordStep('handovers');
	t.deepEqual(progress.fields, {
		overdue: 0, pauses: 0, escalations: 0, handovers: 1, held: 40, dispatchedAfter: 50, firstEventAfter: 100, lastEventAfter: 300, events: 3,
	});
});

test('a request that was not dispatched has neither a dispatch nor events', t => {
	t.like(new RunProgress(1000).fields, {
		dispatchedAfter: undefined, firstEventAfter: undefined, lastEventAfter: undefined, events: 0,
	});
});
