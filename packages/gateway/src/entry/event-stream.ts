import {Buffer} from 'node:buffer';

/** Complete events of a stream, ready to be forwarded. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	/** The number of events. */
	readonly events: number;
};

const newline = 10;
const carriageReturn = 13;
const idPattern = /^id: ?(.*)$/gmv;
/** A carriage return after a line feed is the first half of a truncated line end. */
const lineEndPattern = /\r\n|(?<!\n)\r/gv;
const emptyLine = '\n\n';
const commentPattern = /^:.*\n/gmv;

/**
Splits a stream of server-sent events at event boundaries, and tracks the id of the last complete event.

@example
```ts
const stream = new EventStream();
const part = stream.push(chunk);
stream.lastEventId;
```
*/
export class EventStream {
	#incomplete: Uint8Array = Buffer.alloc(0);
	#lastEventId: string | undefined;

	/**
	@param lastEventId The id of the last event that the caller has already received.
	*/
	constructor(lastEventId?: string) {
		this.#lastEventId = lastEventId;
	}

	/** The id of the last complete event. */
	get lastEventId(): string | undefined {
		return this.#lastEventId;
	}

	/** The bytes of the incomplete event. */
	get incomplete(): Uint8Array {
		return this.#incomplete;
	}

	/** Whether a stream that ends here is broken off inside an event. Empty lines and comments belong to no event. */
	get isInsideEvent(): boolean {
		const text = Buffer.from(this.#incomplete).toString('latin1').replaceAll(lineEndPattern, '\n');
		const lastEventStart = text.lastIndexOf(emptyLine);
		return (lastEventStart === -1 ? text : text.slice(lastEventStart)).replaceAll(commentPattern, '').trim() !== '';
	}

	/**
	Appends bytes of the stream.

	@param chunk The bytes.
	@returns The events that are now complete, or undefined if there are none.
	*/
	push(chunk: Uint8Array): CompleteEvents | undefined {
		const buffered = this.#incomplete.byteLength === 0 ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength) : Buffer.concat([this.#incomplete, chunk]);
		const end = endOfLastEvent(buffered);
		if (end === 0) {
			this.#incomplete = Buffer.from(buffered);
			return undefined;
		}

		const bytes = buffered.subarray(0, end);
		this.#incomplete = Buffer.from(buffered.subarray(end));
		const ids = [...Buffer.from(bytes).toString('latin1').matchAll(idPattern)];
		const last = ids.at(-1)?.[1]?.trim();
		this.#lastEventId = last ?? this.#lastEventId;
		return {bytes, events: Math.max(1, ids.length)};
	}

	/** Discards the incomplete event, so that the stream can resume at another server. */
	discardIncomplete(): void {
		this.#incomplete = Buffer.alloc(0);
	}
}

/** Returns the position after the last empty line; 0 if there is none. */
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
