import test from 'ava';
import {spreadArrivals} from './spread-arrivals.js';

const servers = [{load: 1, capacity: 10}, {load: 3, capacity: 10}, {load: 9, capacity: 10}];

test('the least loaded servers are filled up to a common utilisation', t => {
	t.deepEqual(spreadArrivals(servers, 2), [2, 0, 0]);
	t.deepEqual(spreadArrivals(servers, 4), [3, 1, 0]);
	t.deepEqual(spreadArrivals(servers, 17), [9, 7, 1]);
});

test('servers get by their capacity what is more than the differences between them', t => {
	t.deepEqual(spreadArrivals([{load: 0, capacity: 10}, {load: 0, capacity: 30}], 40), [10, 30]);
	t.deepEqual(spreadArrivals([{load: 5, capacity: 10}, {load: 15, capacity: 30}], 20), [5, 15]);
});
