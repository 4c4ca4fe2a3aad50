import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type HeldBytes} from '@valehitch/routing';
import {OverheadWatch} from './overhead-watch.js';
import {ReadPace} from './read-pace.js';

/** Options of {@linkcode collectBody}. */
export type CollectBodyOptions = {
	/** The bytes that are held for the request; by default, nothing is counted. */
	readonly held?: HeldBytes;
	/** Returns the bytes that may be held in addition, by all requests; by default without a limit. */
	readonly room?: () => number;
};

/** The longest body that is collected, in bytes; a server may send without end. */
const maximumBodyBytes = 16 * 1024 * 1024;
/** The length up to which a body is collected even if no room is left, in bytes. */
const smallBodyBytes = 1024 * 1024;

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
export async function collectBody(message: IncomingMessage, isComplete: () => Promise<boolean>, {held, room}: CollectBodyOptions = {}): Promise<Uint8Array | undefined> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		const overhead = new OverheadWatch(message);
		const pace = new ReadPace(message);
		let bytes = 0;
		message.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
			bytes += chunk.byteLength;
			overhead.add(chunk.byteLength);
			pace.add(chunk.byteLength);
			held?.add(chunk.byteLength);
			if (bytes > maximumBodyBytes || (bytes > smallBodyBytes && room?.() === 0)) {
				message.destroy();
			}
		});
		message.on('end', () => {
			overhead.stop();
			void isComplete().then(complete => {
				resolve(complete ? Buffer.concat(chunks) : undefined);
			});
		});
		message.on('error', () => {
			resolve(undefined);
		});
		message.on('close', () => {
			overhead.stop();
			pace.stop();
			if (!message.readableEnded) {
				resolve(undefined);
			}
		});
	});
}
