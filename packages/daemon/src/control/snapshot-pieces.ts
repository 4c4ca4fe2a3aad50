import {type ReplicaId, type SnapshotRequest} from '@valehitch/consensus';
import {type ReplicaDelivery} from '@valehitch/replication';
import {type SnapshotPieceMessage} from './messages.js';

/** A snapshot on its way to another replica. */
export type SnapshotEnvelope = ReplicaDelivery & {readonly message: SnapshotRequest};

const defaultPieceBytes = 1_048_576;

/**
Splits a snapshot into pieces that fit into a frame between daemons.

@param envelope The snapshot and whom it is for.
@param pieceBytes The most bytes of the state in one piece; 1048576 by default.
@returns The pieces in order.
@example
```ts
for (const piece of splitSnapshot(envelope)) await ask(piece);
```
*/
export function * splitSnapshot({from, to, message}: SnapshotEnvelope, pieceBytes: number = defaultPieceBytes): Generator<SnapshotPieceMessage> {
	const {snapshot: {data}} = message;
	for (let offset = 0; offset < data.byteLength; offset += pieceBytes) {
		yield {
			scope: 'control',
			type: 'snapshot-piece',
			from,
			to,
			message: {...message, snapshot: {...message.snapshot, data: new Uint8Array()}},
			offset,
			totalBytes: data.byteLength,
			data: data.subarray(offset, offset + pieceBytes),
		};
	}
}

/**
Puts the pieces of snapshots together, one snapshot a sender.

@example
```ts
const envelope = pieces.take(piece);
```
*/
export class SnapshotPieces {
	readonly #pending = new Map<ReplicaId, {readonly key: string; readonly parts: Uint8Array[]; bytes: number}>();

	/**
	Takes the next piece; one that is out of order drops what came before it.

	@param piece The piece.
	@returns The whole snapshot once the last piece is there.
	*/
	take({from, to, message, offset, totalBytes, data}: SnapshotPieceMessage): SnapshotEnvelope | undefined {
		const {lastIndex, lastTerm} = message.snapshot;
		const key = `${to}/${message.term}/${lastTerm}/${lastIndex}/${totalBytes}`;
		if (offset === 0) {
			this.#pending.set(from, {key, parts: [], bytes: 0});
		}

		const pending = this.#pending.get(from);
		if (pending?.key !== key || pending.bytes !== offset) {
			this.#pending.delete(from);
			return undefined;
		}

		pending.parts.push(data);
		pending.bytes += data.byteLength;
		if (pending.bytes < totalBytes) {
			return undefined;
		}

		this.#pending.delete(from);
		return {
			from, to, message: {...message, snapshot: {...message.snapshot, data: joined(pending.parts, totalBytes)}},
		};
	}
}

function joined(parts: readonly Uint8Array[], totalBytes: number): Uint8Array {
	const all = new Uint8Array(totalBytes);
	let offset = 0;
	for (const part of parts) {
		all.set(part, offset);
		offset += part.byteLength;
	}

	return all;
}
