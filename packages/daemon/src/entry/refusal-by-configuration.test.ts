import {failure} from '@valehitch/core';
import test from 'ava';
import {refusalByConfiguration} from './refusal-by-configuration.js';

for (const kind of ['unauthenticated', 'forbidden', 'not-found', 'unknown-model'] as const) {
	test(`no caller is refused for good as ${kind} by a configuration that may be outdated`, t => {
		t.is(refusalByConfiguration(failure(kind, 'no'), {isolated: false}).kind, kind);
		const refused = refusalByConfiguration(failure(kind, 'no'), {isolated: true});
		t.is(refused.kind, 'no-configuration');
		t.is(refused.retryAfterMilliseconds, 1000);
	});
}

test('other refusals stay as they are', t => {
	t.is(refusalByConfiguration(failure('malformed-request', 'no'), {isolated: true}).kind, 'malformed-request');
});
