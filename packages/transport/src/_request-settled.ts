import {type ClientRequest} from 'node:http';
import {setTimeoutAfterPoll} from './set-timeout-after-poll.js';

/** The longest request that a server has read when it answers, in bytes. */
const shortRequestBytes = 65_536;
/** The time in which a reset arrives that the last bytes of a request bring about, in milliseconds; longer than a round trip. */
const resetMilliseconds = 100;

/**
Tells whether a server may answer and close its connection while a request is still on the way.
*/
export function isLongRequest(bytes: number): boolean {
	return bytes > shortRequestBytes;
}

/**
Waits until a reset must have arrived if a connection was closed before the server had read what has been written to it.
*/
export async function resetArrived(): Promise<void> {
	return new Promise(resolve => {
		setTimeoutAfterPoll(resetMilliseconds, resolve);
	});
}

/**
Waits until a request has been written, and a reset must have arrived if its server did not read it.
*/
export async function requestSettled(request: ClientRequest): Promise<void> {
	if (!request.writableFinished) {
		await new Promise<void>(resolve => {
			request.once('finish', resolve);
			request.once('close', resolve);
		});
	}

	await resetArrived();
}
