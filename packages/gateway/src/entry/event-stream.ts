import {Buffer} from 'node:buffer';

/** Whole events of a stream, as they can be passed on. */
export type StreamPart = {
	readonly bytes: Uint8Array;
	/** How many events it holds. */
	readonly events: number;
};

const newline = 10;
const carriageReturn = 13;
const idPattern = /^id: ?(.*)$/gmv;

/**
Cuts a stream of server-sent events into whole events, and remembers the id of the last one.

@example
```ts
const stream = new EventStream();
const part = stream.push(chunk);
stream.lastEventId;
```
*/
export class EventStream {
	#rest: Uint8Array = Buffer.alloc(0);
	#lastEventId: string | undefined;

	/**
	@param lastEventId The last event that the caller has already.
	*/
	constructor(lastEventId?: string) {
		this.#lastEventId = lastEventId;
	}

	/** The id of the last whole event. */
	get lastEventId(): string | undefined {
		return this.#lastEventId;
	}

	/** Bytes of an event that is not complete. */
	get rest(): Uint8Array {
		return this.#rest;
	}

	/**
	Takes bytes of the stream.

	@param chunk The bytes.
	@returns The events that are complete now, or undefined where there is none.
	*/
	push(chunk: Uint8Array): StreamPart | undefined {
		const all = this.#rest.byteLength === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([this.#rest, chunk]);
		const end = endOfLastEvent(all);
		if (end === 0) {
			this.#rest = Buffer.from(all);
			return undefined;
		}

		const bytes = all.subarray(0, end);
		this.#rest = Buffer.from(all.subarray(end));
		const ids = [...Buffer.from(bytes).toString('latin1').matchAll(idPattern)];
		const last = ids.at(-1)?.[1]?.trim();
		this.#lastEventId = last ?? this.#lastEventId;
		return {bytes, events: Math.max(1, ids.length)};
	}

	/** Drops the event that is not complete, to go on at another server. */
	drop(): void {
		this.#rest = Buffer.alloc(0);
	}
}

/** The position after the last empty line; 0 where there is none. */
function endOfLastEvent(bytes: Uint8Array): number {
	for (let index = bytes.byteLength - 1; index > 0; index--) {
		if (bytes[index] !== newline) {
			continue;
		}

		const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
		if (before >= 0 && bytes[before] === newline) {
			return index + 1;
		}
	}

	return 0;
}
