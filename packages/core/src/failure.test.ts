import test from 'ava';
import {errorResponses} from './error-kinds.js';
import {failure, outcomeOf} from './failure.js';

test('a failure has the outcome of its kind unless it specifies another', t => {
	t.is(outcomeOf(failure('no-server', 'No server')), 'notRun');
	t.is(outcomeOf(failure('no-server', 'No server', {outcome: 'unknown'})), 'unknown');
});

test('every kind has an error status and a title without a full stop', t => {
	for (const [kind, {status, title}] of Object.entries(errorResponses)) {
		t.true(status >= 400 && status < 600, `The kind is ${kind}`);
		t.regex(title, /^[A-Z].*[^.]$/v, `The kind is ${kind}`);
	}
});
