import {type InstanceId} from '@valehitch/core';
import test from 'ava';
import {type RelayInstance, RequestPath} from './request-path.js';

const relays = ['10.0.0.1', '10.0.0.2'].map(instance => ({instance: instance as InstanceId}));

function createPath({isCutOff, known = relays}: {readonly isCutOff: boolean; readonly known?: readonly RelayInstance[]}): RequestPath<RelayInstance> {
	return new RequestPath({
		links: {isCutOff},
		relays: {choose: excluded => known.find(({instance}) => !excluded.has(instance))},
	});
}

test('a request uses the links of its instance until two of its connections have failed', t => {
	const path = createPath({isCutOff: false});
	t.deepEqual(path.next(0), {type: 'direct'});
	t.deepEqual(path.next(1), {type: 'direct'});
	t.deepEqual(path.next(2), {type: 'relayed', relay: relays[0]!});
});

test('a request to the only server of a service takes a relay after its first failed connection', t => {
	const path = createPath({isCutOff: false});
	t.deepEqual(path.next(0, {isOnlyServer: true}), {type: 'direct'});
	t.deepEqual(path.next(1, {isOnlyServer: true}), {type: 'relayed', relay: relays[0]!});
});

test('a request of an instance that is cut off takes a relay at once, and another one if that fails', t => {
	const path = createPath({isCutOff: true});
	t.deepEqual(path.next(0), {type: 'relayed', relay: relays[0]!});
	path.exclude(relays[0]!);
	t.deepEqual(path.next(0), {type: 'relayed', relay: relays[1]!});
	path.exclude(relays[1]!);
	t.deepEqual(path.next(0), {type: 'direct'});
	t.deepEqual(path.next(1), {type: 'none'});
});

test('without a relay, a request goes on by the links of its instance while that is not known to be cut off', t => {
	t.deepEqual(createPath({isCutOff: false, known: []}).next(3), {type: 'direct'});
});

test('a request asks a bounded number of relays', t => {
	const many = Array.from({length: 9}, (_, index) => ({instance: `10.0.0.${index}` as InstanceId}));
	const path = createPath({isCutOff: true, known: many});
	let asked = 0;
	for (let next = path.next(1); next.type === 'relayed'; next = path.next(1)) {
		asked++;
		path.exclude(next.relay);
	}

	t.is(asked, 4);
	t.deepEqual(path.next(1), {type: 'none'});
});
