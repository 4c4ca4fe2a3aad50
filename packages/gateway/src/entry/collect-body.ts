import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/**
Reads the body of a backend server's answer.

@param message The answer.
@returns The whole body; undefined where it ended early.
@example
```ts
const body = await collectBody(message);
```
*/
export async function collectBody(message: IncomingMessage): Promise<Uint8Array | undefined> {
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		message.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		message.on('end', () => {
			resolve(message.complete ? Buffer.concat(chunks) : undefined);
		});
		message.on('error', () => {
			resolve(undefined);
		});
		message.on('close', () => {
			resolve(undefined);
		});
	});
}
