import {Socket} from 'node:net';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';

/** Options of {@linkcode settleProbe}. */
export type SettleProbeOptions = {
	/** Whether the end of this side reaches the process, which a running one answers with its own. */
	readonly isDirect: boolean;
};

/** The time within which a connection to a process that is ending is reset, in milliseconds. */
const settleMilliseconds = 50;

/**
Tells whether a process that accepts a connection goes on running. A process that ends closes its connections one after another, and the kernel accepts new ones for it until it has closed the socket that listens.

@param open Opens a connection, or tells why none was opened; `reset` if it was reset at once. Through a relay it may also have got no answer, which takes longer and is not tried again.
@param options The way of the connection.
@returns That it was opened and not reset; otherwise why none was opened.
*/
export async function settleProbe<Result extends string>(open: () => Promise<Socket | Result | 'reset'>, {isDirect}: SettleProbeOptions): Promise<Result | 'open' | 'unanswered'> {
	let mayBeReset = true;
	const stopTimeout = setTimeoutAfterPoll(settleMilliseconds, () => {
		mayBeReset = isDirect;
	});
	const first = await open();
	stopTimeout();
	if (first instanceof Socket) {
		if (await staysOpen(first, isDirect)) {
			return 'open';
		}
	} else if (first !== 'reset') {
		return first;
	} else if (!mayBeReset) {
		return 'unanswered';
	}

	// A running server may reset a connection for its load; one that has ended refuses the next one.
	const second = await open();
	if (second instanceof Socket) {
		second.destroy();
		return 'open';
	}

	if (second === 'reset') {
		return isDirect ? 'open' : 'unanswered';
	}

	return second;
}

async function staysOpen(socket: Socket, isDirect: boolean): Promise<boolean> {
	return new Promise(resolve => {
		let isReset = false;
		const stopTimeout = setTimeoutAfterPoll(settleMilliseconds, () => {
			socket.destroy();
		});
		socket.on('error', () => {
			isReset = true;
		});
		socket.on('close', () => {
			stopTimeout();
			resolve(!isReset);
		});
		socket.resume();
		if (isDirect) {
			socket.end();
		}
	});
}
