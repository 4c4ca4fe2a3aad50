import test from 'ava';
import {chooseHomeScope} from './choose-home-scope.js';

test('long prompts about recurring subjects have preferred servers over all zones', t => {
	t.is(chooseHomeScope({sharedTokens: 5400, repeatShare: 0.3, bytes: 12_000}), 'all');
});

test('subjects that seldom recur, and short prompts, have no preferred servers', t => {
	t.is(chooseHomeScope({sharedTokens: 5400, repeatShare: 0.02, bytes: 12_000}), 'none');
	t.is(chooseHomeScope({sharedTokens: 100, repeatShare: 0.3, bytes: 830}), 'none');
	t.is(chooseHomeScope({sharedTokens: 0, repeatShare: 1, bytes: 0}), 'none');
});
