import {setImmediate as turn} from 'node:timers/promises';

/** The first turn may end a poll in which the input was not seen; the second one accepts connections, and the third one reads them. */
const turns = 3;

/**
Waits until all input that had arrived before the call was read, also on connections that were not accepted yet, for decisions about connections that look idle.

@example
```ts
await readPendingInput();
server.closeIdleConnections();
```
*/
export async function readPendingInput(): Promise<void> {
	for (let count = 0; count < turns; count++) {
		await turn();
	}
}
