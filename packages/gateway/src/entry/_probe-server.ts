import {connect} from 'node:net';
import {timeoutAfterInput} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';

/** What a new connection came to; `unanswered` where it was neither opened nor refused in time. */
export type ProbeResult = 'open' | 'refused' | 'unanswered';

/** Tries to open a connection to a server, within a time in milliseconds; no request is sent. */
export async function probeServer({host, port}: Pick<ServerRecord, 'host' | 'port'>, timeout: number): Promise<ProbeResult> {
	return new Promise(resolve => {
		const socket = connect({host, port});
		const stopTimeout = timeoutAfterInput(timeout, () => {
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
