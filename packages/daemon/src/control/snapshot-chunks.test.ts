import {toReplicaId} from '@valehitch/consensus';
import {failure} from '@valehitch/core';
import test from 'ava';
import {Left, Right} from 'purify-ts';
import {type SnapshotEnvelope, SnapshotAssembler, splitSnapshot} from './snapshot-chunks.js';
import {SnapshotSender} from './snapshot-sender.js';

const from = toReplicaId('control-a', 'one');
const to = toReplicaId('control-b', 'two');

function createEnvelope(lastIndex: number): SnapshotEnvelope {
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

test('a snapshot is assembled from its chunks, and chunks of different snapshots are never combined', t => {
	const assembler = new SnapshotAssembler();
	const first = [...splitSnapshot(createEnvelope(5), 300)];
	const second = [...splitSnapshot(createEnvelope(6), 300)];
	t.is(first.length, 4);
	const results = [first[0], first[1], second[2], first[2], first[3], second[0], second[1], second[2], second[3]]
		.map(chunk => chunk && assembler.add(chunk));
	t.deepEqual(results.filter(envelope => envelope !== undefined), [createEnvelope(6)]);
});

test('the sender waits for each chunk, sends one snapshot at a time to a replica, and starts again after a lost reply', async t => {
	const assembler = new SnapshotAssembler();
	const received: SnapshotEnvelope[] = [];
	let sentCount = 0;
	const sender = new SnapshotSender({
		chunkBytes: 300,
		async send(chunk) {
			sentCount++;
			await Promise.resolve();
			if (sentCount === 3) {
				return Left(failure('no-quorum', 'No reply'));
			}

			const envelope = assembler.add(chunk);
			if (envelope !== undefined) {
				received.push(envelope);
			}

			return Right({isTaken: true});
		},
	});
	t.deepEqual(await Promise.all([sender.send(createEnvelope(5)), sender.send(createEnvelope(5))]), [false, false]);
	t.is(sentCount, 3);
	t.true(await sender.send(createEnvelope(5)));
	t.deepEqual(received, [createEnvelope(5)]);
});
