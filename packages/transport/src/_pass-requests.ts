import {type Socket} from 'node:net';
import {nextPoll} from './next-poll.js';
import {type ReadAhead} from './_read-ahead.js';

/** The bytes of one caller that are held, above which it is no longer read if the tunnels together hold too many: more than one read yields. */
const ownBytes = 131_072;

/** What is known of the requests of a tunnel. */
export type PassedRequests = {
	/** Whether bytes of a request have been passed on since the server last sent any. */
	readonly isAnswerDue: () => boolean;
	/** The bytes that have been passed on. */
	readonly passedBytes: () => number;
};

/**
Passes bytes of a caller on to a server, each after the next poll, so that a request that is read late is not passed on if it was abandoned meanwhile.

The caller is read on while the server takes nothing, as far as the bytes that all tunnels hold allow it: the end of a connection is seen only once what was sent before it has been read.
*/
export function passRequests(caller: Socket, server: Socket, readAhead: ReadAhead): PassedRequests {
	let held = 0;
	let isAnswerDue = false;
	let passedBytes = 0;
	let stopWaiting: (() => void) | undefined;
	const hold = (bytes: number): void => {
		held += bytes;
		readAhead.add(bytes);
	};

	const resume = (): void => {
		caller.resume();
	};

	const release = (bytes: number): void => {
		hold(-bytes);
		if (held < ownBytes && caller.isPaused()) {
			caller.resume();
		}
	};

	const pass = async (bytes: Uint8Array): Promise<void> => {
		await nextPoll();
		if (server.destroyed) {
			release(bytes.byteLength);
			return;
		}

		isAnswerDue = true;
		passedBytes += bytes.byteLength;
		// Called with an error, too, if the connection closes first.
		server.write(bytes, () => {
			release(bytes.byteLength);
		});
	};

	caller.on('data', (bytes: Uint8Array) => {
		hold(bytes.byteLength);
		if (held >= ownBytes && readAhead.isFull) {
			caller.pause();
			stopWaiting = readAhead.waitForRoom(resume);
		}

		void pass(bytes);
	});
	caller.on('close', () => {
		stopWaiting?.();
	});
	server.on('data', () => {
		isAnswerDue = false;
	});
	return {isAnswerDue: () => isAnswerDue, passedBytes: () => passedBytes};
}
