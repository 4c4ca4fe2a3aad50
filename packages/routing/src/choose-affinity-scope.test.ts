import test from 'ava';
import {chooseAffinityScope} from './choose-affinity-scope.js';

test('long prompts about recurring subjects have preferred servers over all zones', t => {
	t.is(chooseAffinityScope({sharedTokens: 5400, repeatRate: 0.3, bytes: 12_000}), 'all');
});

test('subjects that seldom recur, and short prompts, have no preferred servers', t => {
	t.is(chooseAffinityScope({sharedTokens: 5400, repeatRate: 0.02, bytes: 12_000}), 'none');
	t.is(chooseAffinityScope({sharedTokens: 100, repeatRate: 0.3, bytes: 830}), 'none');
	t.is(chooseAffinityScope({sharedTokens: 0, repeatRate: 1, bytes: 0}), 'none');
});
