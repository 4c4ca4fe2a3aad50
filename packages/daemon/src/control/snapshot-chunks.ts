import {type ReplicaId, type SnapshotRequest} from '@valehitch/consensus';
import {type AddressedReplicaMessage} from '@valehitch/replication';
import {type SnapshotChunkMessage} from './messages.js';

/** A snapshot request with its sender and receiver. */
export type SnapshotEnvelope = AddressedReplicaMessage & {readonly message: SnapshotRequest};

const defaultChunkBytes = 1_048_576;

/**
Splits a snapshot into chunks that fit into a frame between daemons.

@param envelope The snapshot with its sender and receiver.
@param chunkBytes The maximum number of bytes of the state in one chunk; 1048576 by default.
@returns The chunks, in order.
@example
```ts
for (const chunk of splitSnapshot(envelope)) await send(chunk);
```
*/
export function * splitSnapshot({from, to, message}: SnapshotEnvelope, chunkBytes: number = defaultChunkBytes): Generator<SnapshotChunkMessage> {
	const {snapshot: {data}} = message;
	for (let offset = 0; offset < data.byteLength; offset += chunkBytes) {
		yield {
			scope: 'control',
			type: 'snapshot-piece',
			from,
			to,
			message: {...message, snapshot: {...message.snapshot, data: new Uint8Array()}},
			offset,
			totalBytes: data.byteLength,
			data: data.subarray(offset, offset + chunkBytes),
		};
	}
}

/**
Assembles snapshots from their chunks, one snapshot per sender at a time.

@example
```ts
const envelope = assembler.add(chunk);
```
*/
export class SnapshotAssembler {
	readonly #pending = new Map<ReplicaId, {readonly key: string; readonly chunks: Uint8Array[]; bytes: number}>();

	/**
	Adds the next chunk. A chunk that is out of order discards the previous chunks of its sender.

	@param chunk The chunk.
	@returns The snapshot if it is complete, otherwise undefined.
	*/
	add({from, to, message, offset, totalBytes, data}: SnapshotChunkMessage): SnapshotEnvelope | undefined {
		const {lastIndex, lastTerm} = message.snapshot;
		const key = `${to}/${message.term}/${lastTerm}/${lastIndex}/${totalBytes}`;
		if (offset === 0) {
			this.#pending.set(from, {key, chunks: [], bytes: 0});
		}

		const pending = this.#pending.get(from);
		if (pending?.key !== key || pending.bytes !== offset) {
			this.#pending.delete(from);
			return undefined;
		}

		pending.chunks.push(data);
		pending.bytes += data.byteLength;
		if (pending.bytes < totalBytes) {
			return undefined;
		}

		this.#pending.delete(from);
		return {
			from, to, message: {...message, snapshot: {...message.snapshot, data: concatenate(pending.chunks, totalBytes)}},
		};
	}
}

function concatenate(chunks: readonly Uint8Array[], totalBytes: number): Uint8Array {
	const all = new Uint8Array(totalBytes);
	let offset = 0;
	for (const chunk of chunks) {
		all.set(chunk, offset);
		offset += chunk.byteLength;
	}

	return all;
}
