import {connect, type Socket} from 'node:net';
import {settleProbe} from './_settle-probe.js';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';
import {type TunnelTarget} from './tunnel-target.js';

/** The result of a connection attempt; `unanswered` if it was neither accepted nor refused before the timeout. */
export type ProbeResult = 'open' | 'refused' | 'unanswered';

const failures: Readonly<Record<string, 'refused' | 'reset'>> = {ECONNREFUSED: 'refused', ECONNRESET: 'reset'};

/**
Tries to open a TCP connection, without sending anything. A connection that is reset at once, as by a process that is ending, is tried once more.

@param address The host and port.
@param timeout The connection timeout, in milliseconds.
@returns The result.
@example
```ts
await probeAddress({host: '10.0.0.7', port: 8740}, 100); // 'refused' if no process listens there
```
*/
export async function probeAddress(address: TunnelTarget, timeout: number): Promise<ProbeResult> {
	return settleProbe(async () => open(address, timeout), {isDirect: true});
}

async function open({host, port}: TunnelTarget, timeout: number): Promise<Socket | 'refused' | 'unanswered' | 'reset'> {
	return new Promise(resolve => {
		const socket = connect({host, port});
		const fail = ({code = ''}: NodeJS.ErrnoException): void => {
			resolve(failures[code] ?? 'unanswered');
		};

		const stopTimeout = setTimeoutAfterPoll(timeout, () => {
			socket.destroy();
			resolve('unanswered');
		});
		socket.once('error', fail);
		socket.once('close', stopTimeout);
		socket.once('connect', () => {
			stopTimeout();
			socket.off('error', fail);
			resolve(socket);
		});
	});
}
