import {type IncomingMessage} from 'node:http';
import {type HeldBytes} from '@valehitch/routing';
import {GrowingBytes} from './_growing-bytes.js';
import {OverheadWatch} from './overhead-watch.js';
import {ReadPace} from './read-pace.js';

/** Options of {@linkcode collectBody}. */
export type CollectBodyOptions = {
	/** The bytes that are held for the request; by default, nothing is counted. */
	readonly held?: HeldBytes;
	/** Whether a number of bytes may be held for the body; by default any. */
	readonly mayHold?: (bytes: number) => boolean;
	/** Called with the reason if the body is broken off for its length. */
	readonly onExcess?: ((reason: string) => void) | undefined;
	/** Called with the bytes that were collected if no more may be held; that says nothing about the server. */
	readonly onNoRoom?: ((bytes: number) => void) | undefined;
};

/** The longest body that is collected, in bytes; a server may send without end. */
const maximumBodyBytes = 16 * 1024 * 1024;

/**
Reads the body of a backend server's answer.

@param message The answer.
@param isComplete Reports whether the answer is complete; called when the body ends.
@param options Where the bytes are counted.
@returns The complete body; undefined if it ended early, or was broken off for its length.
@example
```ts
const body = await collectBody(message, isComplete, {held});
```
*/
export async function collectBody(message: IncomingMessage, isComplete: () => Promise<boolean>, options: CollectBodyOptions = {}): Promise<Uint8Array | undefined> {
	const {held, mayHold = () => true, onExcess, onNoRoom} = options;
	if (message.destroyed && !message.readableEnded) {
		// It broke while it was kept unread, so that no further events are emitted.
		return undefined;
	}

	return new Promise((resolve, reject) => {
		const body = new GrowingBytes(statedLength(message));
		const overhead = new OverheadWatch(message, onExcess);
		const pace = new ReadPace(message);
		let heldBytes = 0;
		let isCutOff = false;
		const finish = (collected: Uint8Array | undefined): void => {
			if (collected === undefined) {
				held?.add(-heldBytes);
				heldBytes = 0;
			}

			resolve(collected);
		};

		message.on('data', (chunk: Uint8Array) => {
			// The rest of what the parser is reading still comes.
			if (isCutOff) {
				return;
			}

			overhead.add(chunk.byteLength);
			pace.add(chunk.byteLength);
			const capacity = body.capacityWith(chunk.byteLength);
			held?.add(capacity - heldBytes);
			heldBytes = capacity;
			const isTooLong = body.length + chunk.byteLength > maximumBodyBytes;
			if (isTooLong || !mayHold(heldBytes)) {
				isCutOff = true;
				if (isTooLong) {
					onExcess?.(`A body of more than ${body.length} bytes`);
				} else {
					onNoRoom?.(body.length);
				}

				message.destroy();
				finish(undefined);
				return;
			}

			body.append(chunk);
		});
		message.on('end', () => {
			overhead.stop();
			isComplete().then(complete => {
				finish(complete ? body.view : undefined);
			}, reject);
		});
		message.on('error', () => {
			finish(undefined);
		});
		message.on('close', () => {
			overhead.stop();
			pace.stop();
			if (!message.readableEnded) {
				finish(undefined);
			}
		});
	});
}

/** Returns the stated length of a body; infinite without one. */
function statedLength({headers}: IncomingMessage): number {
	return headers['content-length'] === undefined ? Number.POSITIVE_INFINITY : Number(headers['content-length']);
}
