import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/**
Reads the body of a backend server's answer.

@param message The answer.
@param isComplete Reports whether the answer is complete; called when the body ends.
@returns The complete body; undefined if it ended early.
@example
```ts
const body = await collectBody(message, isWhole);
```
*/
export async function collectBody(message: IncomingMessage, isComplete: () => Promise<boolean>): Promise<Uint8Array | undefined> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		message.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
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
