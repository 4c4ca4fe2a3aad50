import {connect} from 'node:net';
import {setTimeoutAfterPoll} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';

/** The result of a connection attempt; `unanswered` if it was neither accepted nor refused before the timeout. */
export type ProbeResult = 'open' | 'refused' | 'unanswered';

/** Tries to open a TCP connection to a server within `timeout` milliseconds, without sending a request. */
export async function probeServer({host, port}: Pick<ServerRecord, 'host' | 'port'>, timeout: number): Promise<ProbeResult> {
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
