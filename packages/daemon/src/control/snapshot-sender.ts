import {type Failure} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type SnapshotChunkMessage, type SnapshotChunkReply} from './messages.js';
import {type SnapshotEnvelope, splitSnapshot} from './snapshot-chunks.js';

/** The dependencies of a `SnapshotSender`. */
export type SnapshotSenderOptions = {
	/** Sends a chunk and waits for the acknowledgement. */
	readonly send: (chunk: SnapshotChunkMessage) => Promise<Either<Failure, SnapshotChunkReply>>;
	/** The maximum number of bytes of the state in one chunk; the default of `splitSnapshot` if not given. */
	readonly chunkBytes?: number;
};

/**
Sends snapshots in chunks. Each chunk is sent after the previous one was acknowledged, and each replica receives one snapshot at a time.

A snapshot for a replica that is still receiving one is dropped, since the leader sends it again.

@example
```ts
await sender.send(envelope);
```
*/
export class SnapshotSender {
	readonly #options: SnapshotSenderOptions;
	readonly #receivers = new Set<string>();

	constructor(options: SnapshotSenderOptions) {
		this.#options = options;
	}

	/**
	Sends a snapshot.

	@param envelope The snapshot with its sender and receiver.
	@returns Whether all chunks were acknowledged.
	*/
	async send(envelope: SnapshotEnvelope): Promise<boolean> {
		if (this.#receivers.has(envelope.to)) {
			return false;
		}

		this.#receivers.add(envelope.to);
		try {
			return await this.#sendChunks(envelope);
		} finally {
			this.#receivers.delete(envelope.to);
		}
	}

	async #sendChunks(envelope: SnapshotEnvelope): Promise<boolean> {
		for (const chunk of splitSnapshot(envelope, this.#options.chunkBytes)) {
			const reply = await this.#options.send(chunk);
			if (!reply.map(({isTaken}) => isTaken).orDefault(false)) {
				return false;
			}
		}

		return true;
	}
}
