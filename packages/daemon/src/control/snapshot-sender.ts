import {type Failure} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type SnapshotPieceMessage, type SnapshotPieceReply} from './messages.js';
import {type SnapshotEnvelope, splitSnapshot} from './snapshot-pieces.js';

/** What the sender needs. */
export type SnapshotSenderOptions = {
	/** Sends a piece and waits until the receiver has it. */
	readonly ask: (piece: SnapshotPieceMessage) => Promise<Either<Failure, SnapshotPieceReply>>;
	/** The most bytes of the state in one piece; that of `splitSnapshot` by default. */
	readonly pieceBytes?: number;
};

/**
Sends snapshots in pieces, each once the one before has arrived, and one at a time to each replica.

A snapshot that comes while one is on its way is left out: the leader offers it again.

@example
```ts
await sender.send(envelope);
```
*/
export class SnapshotSender {
	readonly #options: SnapshotSenderOptions;
	readonly #busy = new Set<string>();

	constructor(options: SnapshotSenderOptions) {
		this.#options = options;
	}

	/**
	Sends a snapshot.

	@param envelope The snapshot and whom it is for.
	@returns Whether all of it arrived.
	*/
	async send(envelope: SnapshotEnvelope): Promise<boolean> {
		if (this.#busy.has(envelope.to)) {
			return false;
		}

		this.#busy.add(envelope.to);
		try {
			return await this.#sendAll(envelope);
		} finally {
			this.#busy.delete(envelope.to);
		}
	}

	async #sendAll(envelope: SnapshotEnvelope): Promise<boolean> {
		for (const piece of splitSnapshot(envelope, this.#options.pieceBytes)) {
			const reply = await this.#options.ask(piece);
			if (!reply.map(({isTaken}) => isTaken).orDefault(false)) {
				return false;
			}
		}

		return true;
	}
}
