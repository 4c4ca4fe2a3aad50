import test from 'ava';
import {testLease} from './_test-lease.js';

test('a confirmation is valid for the duration of the lease', t => {
	const lease = testLease({duration: 4500});
	t.deepEqual([lease.isValid(1000), lease.wasConfirmed], [false, false]);
	lease.confirm(1000);
	lease.confirm(900);
	t.deepEqual([lease.isValid(5499), lease.isValid(5500), lease.age(1500)], [true, false, 500]);
});

test('a suspension invalidates the confirmation and requests the next one once', t => {
	let wokeAt = Number.NEGATIVE_INFINITY;
	let doubts = 0;
	const lease = testLease({
		suspension: {lastWake: () => wokeAt},
		onSuspension() {
			doubts++;
		},
	});
	lease.confirm(1000);
	wokeAt = 1010;
	t.deepEqual([lease.isValid(1010), lease.wasSuspended, lease.wasConfirmed, doubts], [false, true, true, 1]);
	lease.confirm(1012);
	t.deepEqual([lease.isValid(1020), lease.wasSuspended, doubts], [true, false, 1]);
});
