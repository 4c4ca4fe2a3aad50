import {type IncomingMessage, type ServerResponse} from 'node:http';
import {timeoutAfterInput} from '@valehitch/transport';
import {type EventStream} from './event-stream.js';

/** How the events of one backend server are passed on. */
export type RelayStreamOptions = {
	readonly message: IncomingMessage;
	/** Tells at the end whether the answer is complete. */
	readonly isWhole: () => Promise<boolean>;
	readonly response: ServerResponse;
	readonly events: EventStream;
	/** The silence after which the server counts as stalled, in milliseconds; 0 for no bound. */
	readonly stallTimeout: number;
	/** Whether a stream that stalls can go on elsewhere; it is kept where it cannot. */
	readonly canGoOnElsewhere: () => boolean;
	/** Called as bytes arrive. */
	readonly onHeard: () => void;
	/** Called before the first event of this server is passed on. */
	readonly onFirstEvent: () => void;
};

/** How the stream of one backend server ended. */
export type RelayEnd = 'complete' | 'broken' | 'stalled' | 'caller-left';

/**
Passes the events of a stream on as they arrive, whole events only, so that a stream that breaks can go on elsewhere.

@param options The stream and the caller.
@returns How it ended; the caller's response is ended only where it is complete.
@example
```ts
const end = await relayStream({message, isWhole, response, events, stallTimeout: 1500, canGoOnElsewhere, onHeard, onFirstEvent});
```
*/
export async function relayStream({message, isWhole, response, events, stallTimeout, canGoOnElsewhere, onHeard, onFirstEvent}: RelayStreamOptions): Promise<RelayEnd> {
	return new Promise(resolve => {
		let hasEvents = false;
		let isOver = false;
		let stopTimeout: (() => void) | undefined;
		const finish = (end: RelayEnd): void => {
			if (isOver) {
				return;
			}

			isOver = true;
			stopTimeout?.();
			response.off('close', leave);
			response.off('drain', goOn);
			if (end !== 'complete') {
				message.destroy();
			}

			resolve(end);
		};

		const leave = (): void => {
			finish('caller-left');
		};

		const goOn = (): void => {
			watch();
			message.resume();
		};

		const watch = (): void => {
			stopTimeout?.();
			stopTimeout = stallTimeout === 0
				? undefined
				: timeoutAfterInput(stallTimeout, () => {
					if (canGoOnElsewhere()) {
						finish('stalled');
					} else {
						watch();
					}
				});
		};

		const pass = (bytes: Uint8Array): void => {
			if (!hasEvents) {
				hasEvents = true;
				onFirstEvent();
			}

			if (!response.write(bytes)) {
				// While the caller does not read, the server's silence is our own.
				stopTimeout?.();
				message.pause();
			}
		};

		response.on('close', leave);
		response.on('drain', goOn);
		if (message.destroyed) {
			// It was kept unread, and its connection ended meanwhile: nothing more comes of it, not even an end.
			finish('broken');
			return;
		}

		watch();
		message.on('data', (chunk: Uint8Array) => {
			onHeard();
			watch();
			const part = events.push(chunk);
			if (part !== undefined && !isOver) {
				pass(part.bytes);
			}
		});
		const end = async (): Promise<void> => {
			if (!await isWhole()) {
				finish('broken');
				return;
			}

			// What follows the last empty line belongs to a complete body too.
			if (events.rest.byteLength > 0 && !isOver) {
				pass(events.rest);
			}

			finish('complete');
		};

		message.on('end', () => {
			void end();
		});
		message.on('error', () => {
			finish('broken');
		});
		message.on('close', () => {
			if (!message.readableEnded) {
				finish('broken');
			}
		});
	});
}
