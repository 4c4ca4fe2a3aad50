import {toReplicaId} from '@valehitch/consensus';
import {failure} from '@valehitch/core';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {type SnapshotEnvelope, SnapshotPieces, splitSnapshot} from './snapshot-pieces.js';
import {SnapshotSender} from './snapshot-sender.js';

const from = toReplicaId('control-a', 'one');
const to = toReplicaId('control-b', 'two');

function envelopeAt(lastIndex: number): SnapshotEnvelope {
	const data = Uint8Array.from({length: 1000}, (_, index) => (index + lastIndex) % 256);
	return {
		from,
		to,
		message: {
			type: 'snapshot-request',
			term: 3,
			round: 7,
			snapshot: {
				lastIndex, lastTerm: 2, replicas: {voters: [from], learners: [to]}, data,
			},
		},
	};
}

test('a snapshot arrives whole in pieces, and pieces of two are never mixed', t => {
	const pieces = new SnapshotPieces();
	const first = [...splitSnapshot(envelopeAt(5), 300)];
	const second = [...splitSnapshot(envelopeAt(6), 300)];
	t.is(first.length, 4);
	const taken = [first[0], first[1], second[2], first[2], first[3], second[0], second[1], second[2], second[3]]
		.map(piece => piece && pieces.take(piece));
	t.deepEqual(taken.filter(envelope => envelope !== undefined), [envelopeAt(6)]);
});

test('the sender waits for each piece, sends one snapshot at a time to a replica, and begins anew after a loss', async t => {
	const pieces = new SnapshotPieces();
	const received: SnapshotEnvelope[] = [];
	let asked = 0;
	const sender = new SnapshotSender({
		pieceBytes: 300,
		async ask(piece) {
			asked++;
			await Promise.resolve();
			if (asked === 3) {
				return Left(failure('no-quorum', 'Got no reply'));
			}

			const envelope = pieces.take(piece);
			if (envelope !== undefined) {
				received.push(envelope);
			}

			return Right({isTaken: true});
		},
	});
	t.deepEqual(await Promise.all([sender.send(envelopeAt(5)), sender.send(envelopeAt(5))]), [false, false]);
	t.is(asked, 3);
	t.true(await sender.send(envelopeAt(5)));
	t.deepEqual(received, [envelopeAt(5)]);
});
