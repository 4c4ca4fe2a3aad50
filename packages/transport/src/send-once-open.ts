import {type ClientRequest} from 'node:http';
import {type Socket} from 'node:net';

/** Options of {@linkcode sendOnceOpen}. */
export type SendOnceOpenOptions = {
	/** Checked right before the request is written; if it may no longer be sent, its connection is closed. By default it may. */
	readonly mayStillSend?: (() => boolean) | undefined;
};

/** How far a request has come. */
export type SendProgress = {
	/** Whether a part of the request may have been sent. */
	readonly isSent: boolean;
	/** Whether the last check did not allow the request to be sent. */
	readonly isWithheld: boolean;
};

/** The message of the error of a request that may no longer be sent. */
const withheldMessage = 'The request may no longer be sent';

/**
Sends a request once its connection is open and the poll in which it opened has ended, unless the request was destroyed by then. On a kept connection, it is sent at once.

After the process was blocked or suspended, the end of a caller's connection, or a configuration, may be read after the opening of another connection, in the same poll.

@param request The request, of which nothing has been sent.
@param body Its body.
@param options The last check.
@returns The progress of the request, which changes with it.
@example
```ts
const request = openRequest({host, port, method, path, headers});
const progress = sendOnceOpen(request, body);
```
*/
export function sendOnceOpen(request: ClientRequest, body: Uint8Array, {mayStillSend = () => true}: SendOnceOpenOptions = {}): SendProgress {
	const progress = {isSent: false, isWithheld: false};
	const send = (): void => {
		if (request.destroyed) {
			return;
		}

		if (!mayStillSend()) {
			progress.isWithheld = true;
			request.destroy(new Error(withheldMessage));
			return;
		}

		progress.isSent = true;
		request.end(body);
	};

	const sendAfterPoll = (): void => {
		setImmediate(send);
	};

	request.once('socket', (socket: Socket) => {
		if (request.reusedSocket) {
			send();
		} else if (socket.connecting) {
			socket.once('connect', sendAfterPoll);
		} else {
			sendAfterPoll();
		}
	});
	return progress;
}
