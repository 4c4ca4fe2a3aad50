import test from 'ava';
import {deadlineOf} from './deadline-of.js';

const options = {route: {timeout: 2000}, arrivedAt: 100};

test('the shorter of the time limits of the caller and of the route counts', t => {
	t.is(deadlineOf({timeout: 8000}, options), 2100);
	t.is(deadlineOf({timeout: 500}, options), 600);
	t.is(deadlineOf({timeout: undefined}, options), 2100);
});
