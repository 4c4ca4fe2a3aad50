import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type HeldBytes} from '@valehitch/routing';

/** Options of {@linkcode collectBody}. */
export type CollectBodyOptions = {
	/** The bytes that are held for the request; by default, nothing is counted. */
	readonly held?: HeldBytes;
};

/**
Reads the body of a backend server's answer.

@param message The answer.
@param isComplete Reports whether the answer is complete; called when the body ends.
@param options Where the bytes are counted.
@returns The complete body; undefined if it ended early.
@example
```ts
const body = await collectBody(message, isComplete, {held});
```
*/
export async function collectBody(message: IncomingMessage, isComplete: () => Promise<boolean>, {held}: CollectBodyOptions = {}): Promise<Uint8Array | undefined> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		message.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
			held?.add(chunk.byteLength);
		});
		message.on('end', () => {
			void isComplete().then(complete => {
				resolve(complete ? Buffer.concat(chunks) : undefined);
			});
		});
		message.on('error', () => {
			resolve(undefined);
		});
		message.on('close', () => {
			if (!message.readableEnded) {
				resolve(undefined);
			}
		});
	});
}
