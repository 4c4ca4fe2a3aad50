import {connect} from 'node:net';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';
import {type TunnelTarget} from './tunnel-target.js';

/** The result of a connection attempt; `unanswered` if it was neither accepted nor refused before the timeout. */
export type ProbeResult = 'open' | 'refused' | 'unanswered';

/**
Tries to open a TCP connection, without sending anything.

@param address The host and port.
@param timeout The connection timeout, in milliseconds.
@returns The result.
@example
```ts
await probeAddress({host: '10.0.0.7', port: 8740}, 100); // 'refused' if no process listens there
```
*/
export async function probeAddress({host, port}: TunnelTarget, timeout: number): Promise<ProbeResult> {
	return new Promise(resolve => {
		const socket = connect({host, port});
		const stopTimeout = setTimeoutAfterPoll(timeout, () => {
			socket.destroy();
		});
		let result: ProbeResult = 'unanswered';
		socket.on('connect', () => {
			result = 'open';
			socket.destroy();
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			result = error.code === 'ECONNREFUSED' ? 'refused' : 'unanswered';
		});
		socket.on('close', () => {
			stopTimeout();
			resolve(result);
		});
	});
}
