import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/**
Reads the body of a backend server's answer.

@param message The answer.
@param isWhole Tells at the end whether the answer is complete.
@returns The whole body; undefined where it ended early.
@example
```ts
const body = await collectBody(message, isWhole);
```
*/
export async function collectBody(message: IncomingMessage, isWhole: () => Promise<boolean>): Promise<Uint8Array | undefined> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		message.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		message.on('end', () => {
			void isWhole().then(whole => {
				resolve(whole ? Buffer.concat(chunks) : undefined);
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
