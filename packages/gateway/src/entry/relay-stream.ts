import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock} from '@valehitch/core';
import {type HeldBytes} from '@valehitch/routing';
import {InactivityTimer} from '@valehitch/transport';
import {type AnswerBuffer} from './answer-buffer.js';
import {type EventStream} from './event-stream.js';
import {OverheadWatch} from './overhead-watch.js';
import {ReadPace} from './read-pace.js';

/** Options of {@linkcode relayStream}. */
export type RelayStreamOptions = {
	readonly message: IncomingMessage;
	/** Reports whether the answer is complete; called when the body ends. */
	readonly isComplete: () => Promise<boolean>;
	readonly response: ServerResponse;
	readonly events: EventStream;
	/** Counts what the caller has not read, and decides whether the server may go on sending; by default it may not. */
	readonly buffer?: Pick<AnswerBuffer, 'mayGrow' | 'recordUnread'>;
	/** The bytes that are held for the incomplete event; by default, nothing is counted. */
	readonly held?: HeldBytes;
	/** Whether a number of bytes may be held for the incomplete event; by default any. */
	readonly mayHold?: (bytes: number) => boolean;
	/** Called with the reason if the stream is broken off for what its server sends. */
	readonly onExcess?: (reason: string) => void;
	/** The clock of the stall timeout; that of the process by default. */
	readonly clock?: Pick<Clock, 'monotonic'>;
	/** The time without data after which a stream may be stalled, in milliseconds; 0 if it never is. */
	readonly stallTimeout: number;
	/** Whether the stream has stalled, by the time without data in milliseconds; asked again and again from the stall timeout on. */
	readonly isStalled: (paused: number) => boolean;
	/** Called when data arrives, with the time in milliseconds on the monotonic clock. */
	readonly onData: (now: number) => void;
	/** Called before the first event of this server is forwarded. */
	readonly onFirstEvent: () => void;
	/** Called with the number of events that have arrived, and the time in milliseconds on the monotonic clock; by default nothing is called. */
	readonly onEvents?: (count: number, now: number) => void;
};

/** The longest event, in bytes; a server may send without ever ending one. */
const maximumEventBytes = 1024 * 1024;
/** The most comments since the last event, in bytes: comments keep a connection alive, but are no answer. */
const keepAliveBytes = 64 * 1024;
/** The interval at which a stream that has paused is looked at again, in milliseconds; a small part of a stall timeout. */
const repeatMilliseconds = 100;
const eventStreamType = 'text/event-stream';
const processClock: Pick<Clock, 'monotonic'> = {monotonic: () => performance.now()};

/** How the relay of a stream ended; `not-held` if there was no room for its incomplete event, which says nothing about its server. */
export type RelayEnd = 'complete' | 'broken' | 'stalled' | 'not-held' | 'caller-left';

/**
Forwards the events of a stream as they arrive. Only complete events are forwarded, so that an interrupted stream can resume at another server.

@param options The stream and the caller.
@returns How the stream ended. The caller's response is left open, and so is a stalled stream, which is paused.
@throws What a listener threw, such as an error of writing to the caller; the stream is closed then.
@example
```ts
const end = await relayStream({message, isComplete, response, events, stallTimeout: 1500, isStalled, onData, onFirstEvent});
```
*/
export async function relayStream(options: RelayStreamOptions): Promise<RelayEnd> {
	const {message, isComplete, response, events, buffer, held, mayHold = () => true, onExcess, clock = processClock, stallTimeout, isStalled, onData, onFirstEvent, onEvents} = options;
	return new Promise((resolve, reject) => {
		const overhead = new OverheadWatch(message, onExcess);
		let hasForwarded = false;
		let bytesWithoutEvent = events.incomplete.byteLength;
		let isFinished = false;
		let isPaused = false;
		const pace = new ReadPace(message, {mayResume: () => !isPaused && !isFinished});
		const stall = new InactivityTimer({
			timeout: stallTimeout,
			clock,
			onExpired(paused) {
				if (isStalled(paused)) {
					finish('stalled');
				} else {
					stall.extend(repeatMilliseconds);
				}
			},
		});
		const finish = (end: RelayEnd): void => {
			if (isFinished) {
				return;
			}

			isFinished = true;
			stall.stop();
			overhead.stop();
			pace.stop();
			held?.set(0);
			response.off('close', onCallerClose);
			response.off('drain', onDrain);
			if (end === 'stalled') {
				message.off('data', onChunk);
				message.off('end', onEnd);
				message.pause();
			} else if (end !== 'complete') {
				message.destroy();
			}

			resolve(end);
		};

		/** Ends this stream, and not the process, for an error in a listener. */
		const fail = (error: unknown): void => {
			reject(error instanceof Error ? error : new Error(String(error)));
			finish('broken');
		};

		const onCallerClose = (): void => {
			finish('caller-left');
		};

		const onDrain = (): void => {
			buffer?.recordUnread();
			if (isPaused) {
				isPaused = false;
				stall.start(clock.monotonic());
				message.resume();
			}
		};

		const forward = (bytes: Uint8Array): void => {
			if (!hasForwarded) {
				hasForwarded = true;
				onFirstEvent();
			}

			if (!response.write(bytes) && buffer?.mayGrow() !== true) {
				// While it is paused, the server is not expected to send data.
				isPaused = true;
				stall.stop();
				message.pause();
			}
		};

		const readChunk = (chunk: Uint8Array): void => {
			const now = clock.monotonic();
			onData(now);
			stall.touch(now);
			overhead.add(chunk.byteLength);
			pace.add(chunk.byteLength);
			const part = events.push(chunk);
			const hasEvent = part !== undefined && part.events > 0;
			bytesWithoutEvent = hasEvent ? events.incomplete.byteLength : bytesWithoutEvent + chunk.byteLength;
			if (part !== undefined && !isFinished) {
				forward(part.bytes);
				if (hasEvent) {
					onEvents?.(part.events, now);
				}
			}

			if (isFinished) {
				return;
			}

			held?.set(events.heldBytes);
			const incompleteBytes = events.incomplete.byteLength;
			if (bytesWithoutEvent - incompleteBytes > keepAliveBytes || incompleteBytes > maximumEventBytes) {
				onExcess?.(`${bytesWithoutEvent} bytes that complete no event`);
				finish('broken');
			} else if (!mayHold(events.heldBytes)) {
				finish('not-held');
			}
		};

		const onChunk = (chunk: Uint8Array): void => {
			try {
				readChunk(chunk);
			} catch (error) {
				fail(error);
			}
		};

		const end = async (): Promise<void> => {
			stall.stop();
			overhead.stop();
			if ((isEventStream(message) && events.isInsideEvent) || !await isComplete()) {
				finish('broken');
				return;
			}

			// A complete body may have line ends or comments after the last event.
			if (events.incomplete.byteLength > 0 && !isFinished) {
				forward(events.incomplete);
			}

			finish('complete');
		};

		const onEnd = (): void => {
			end().catch(fail);
		};

		response.on('close', onCallerClose);
		response.on('drain', onDrain);
		if (message.destroyed) {
			// The stream was kept unread and its connection ended meanwhile, so no further events are emitted, not even 'end'.
			finish('broken');
			return;
		}

		stall.start(clock.monotonic());
		message.on('data', onChunk);
		message.on('end', onEnd);
		message.on('error', () => {
			finish('broken');
		});
		message.on('close', () => {
			if (!message.readableEnded) {
				finish('broken');
			}
		});
		// A stream that has stalled before is paused.
		message.resume();
	});
}

function isEventStream({headers}: IncomingMessage): boolean {
	return headers['content-type']?.startsWith(eventStreamType) ?? true;
}
