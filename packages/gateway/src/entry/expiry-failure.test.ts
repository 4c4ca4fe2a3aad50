import {outcomeOf} from '@valehitch/core';
import test from 'ava';
import {expiryFailure} from './expiry-failure.js';

const late = {waited: 800, lastProblem: 'i-1 is unreachable', retryAfter: 250};

test('a request that was never sent has not run, and its caller gets a retry delay', t => {
	const failed = expiryFailure({...late, mayHaveRun: false});
	t.like(failed, {kind: 'no-server', retryAfterMilliseconds: 250});
	t.is(outcomeOf(failed), 'notRun');
});

test('a request that may have reached a server is not reported as not run', t => {
	const failed = expiryFailure({...late, mayHaveRun: true});
	t.is(failed.kind, 'deadline-exceeded-after-dispatch');
	t.not(outcomeOf(failed), 'notRun');
});
