import {type ReplicaMessage, toReplicaId} from '@valehitch/consensus';
import test from 'ava';
import {Packr} from 'msgpackr';
import {decodeReplicaMessage, type EncodedReplicaMessage, encodeReplicaMessage} from './replica-codec.js';

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});
const data = new Uint8Array([1, 2, 3]);
const replicas = {voters: [toReplicaId('control-a', '1')], learners: []};
const messages: readonly ReplicaMessage[] = [
	{
		type: 'append-request', term: 3, previousIndex: 7, previousTerm: 2, commitIndex: 6, round: 9, entries: [],
	},
	{
		type: 'append-request', term: 3, previousIndex: 7, previousTerm: 2, commitIndex: 6, round: 9,
		entries: [{index: 8, term: 3, payload: {type: 'command', data}}, {index: 9, term: 3, payload: {type: 'replica-set', replicas}}],
	},
	{
		type: 'append-reply', term: 3, success: false, matchIndex: 4, round: 9,
	},
	{
		type: 'vote-request', term: 4, isPreVote: true, lastIndex: 9, lastTerm: 3,
	},
	{
		type: 'vote-reply', term: 4, isPreVote: false, granted: true,
	},
	{
		type: 'snapshot-request', term: 4, round: 10, snapshot: {
			lastIndex: 9, lastTerm: 3, replicas, data,
		},
	},
];

test('each message between replicas is unchanged after encoding and decoding', t => {
	for (const message of messages) {
		const wire = packr.unpack(packr.pack(encodeReplicaMessage(message))) as EncodedReplicaMessage;
		t.deepEqual(plain(decodeReplicaMessage(wire)), plain(message));
	}
});

/** Replaces byte arrays by plain arrays, because decoding returns them as Buffer. */
function plain(value: unknown): unknown {
	if (value instanceof Uint8Array) {
		return [...value];
	}

	if (Array.isArray(value)) {
		return value.map(item => plain(item));
	}

	return typeof value === 'object' && value !== null
		? Object.fromEntries(Object.entries(value).map(([name, member]) => [name, plain(member)]))
		: value;
}
