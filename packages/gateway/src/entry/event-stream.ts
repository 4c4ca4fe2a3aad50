import {Buffer} from 'node:buffer';
import {GrowingBytes} from './_growing-bytes.js';

/** Complete events of a stream, ready to be forwarded. */
export type CompleteEvents = {
	readonly bytes: Uint8Array;
	/** The number of events among them; 0 if they are comments, which only keep the connection alive. */
	readonly events: number;
};

const newline = 10;
const carriageReturn = 13;
const colon = 58;
const idField = Buffer.from('id:');
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
	#incomplete = new GrowingBytes();
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

	/** The memory that is held for the incomplete event, in bytes. */
	get heldBytes(): number {
		return this.#incomplete.capacity;
	}

	/** The bytes of the incomplete event. */
	get incomplete(): Uint8Array {
		return this.#incomplete.view;
	}

	/** Whether a stream that ends here is broken off inside an event. Empty lines and comments belong to no event. */
	get isInsideEvent(): boolean {
		const text = asBuffer(this.#incomplete.view).toString('latin1').replaceAll(lineEndPattern, '\n');
		const lastEventStart = text.lastIndexOf(emptyLine);
		return (lastEventStart === -1 ? text : text.slice(lastEventStart)).replaceAll(commentPattern, '').trim() !== '';
	}

	/**
	Appends bytes of the stream.

	@param chunk The bytes.
	@returns The events that are now complete, or undefined if there are none.
	*/
	push(chunk: Uint8Array): CompleteEvents | undefined {
		const checkedBytes = this.#incomplete.length;
		if (checkedBytes > 0) {
			this.#incomplete.append(chunk);
		}

		const buffered = checkedBytes === 0 ? asBuffer(chunk) : asBuffer(this.#incomplete.view);
		const end = endOfLastEvent(buffered, checkedBytes);
		if (end > 0 || checkedBytes === 0) {
			// The rest is copied, because it may be a part of a much larger buffer.
			this.restoreIncomplete(buffered.subarray(end));
		}

		if (end === 0) {
			return undefined;
		}

		const bytes = end === buffered.byteLength ? buffered : buffered.subarray(0, end);
		this.#lastEventId = lastIdIn(bytes) ?? this.#lastEventId;
		return {bytes, events: countEvents(bytes)};
	}

	/** Discards the incomplete event, so that the stream can resume at another server. */
	discardIncomplete(): void {
		this.#incomplete = new GrowingBytes();
	}

	/**
	Restores the incomplete event of a stream that continues at its earlier server.

	@param bytes The bytes that were incomplete when it was left.
	*/
	restoreIncomplete(bytes: Uint8Array): void {
		this.#incomplete = new GrowingBytes();
		this.#incomplete.append(bytes);
	}
}

function asBuffer(chunk: Uint8Array) {
	return Buffer.isBuffer(chunk) ? chunk : Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
}

/** Returns the position after the last empty line; 0 if there is none. No empty line ends in the first `checkedBytes`. */
function endOfLastEvent(bytes: Uint8Array, checkedBytes: number): number {
	const unchecked = asBuffer(bytes.subarray(checkedBytes));
	for (let index = unchecked.lastIndexOf(newline); index >= 0; index = index === 0 ? -1 : unchecked.lastIndexOf(newline, index - 1)) {
		const position = checkedBytes + index;
		const before = bytes[position - 1] === carriageReturn ? position - 2 : position - 1;
		if (before >= 0 && bytes[before] === newline) {
			return position + 1;
		}
	}

	return 0;
}

/** Counts the empty lines that end an event. */
function countEvents(bytes: Uint8Array): number {
	const buffer = asBuffer(bytes);
	let count = 0;
	let isInsideEvent = false;
	let start = 0;
	for (let end = buffer.indexOf(newline); end !== -1; end = buffer.indexOf(newline, start)) {
		const isEmpty = end === start || (end === start + 1 && buffer[start] === carriageReturn);
		count += isEmpty && isInsideEvent ? 1 : 0;
		isInsideEvent = !isEmpty && (isInsideEvent || hasField(buffer, start));
		start = end + 1;
	}

	return count;
}

/** Whether a line has anything but a comment. A carriage return alone ends a line too. */
function hasField(bytes: Uint8Array, start: number): boolean {
	let first = start;
	while (bytes[first] === carriageReturn) {
		first++;
	}

	return bytes[first] !== newline && bytes[first] !== colon;
}

/** Returns the value of the last line that is an id; undefined if there is none. */
function lastIdIn(bytes: Uint8Array): string | undefined {
	const buffer = asBuffer(bytes);
	let start = buffer.lastIndexOf(idField);
	while (start > 0 && !isLineEnd(bytes[start - 1])) {
		start = buffer.lastIndexOf(idField, start - 1);
	}

	if (start === -1) {
		return undefined;
	}

	const valueStart = start + idField.byteLength;
	let end = valueStart;
	while (end < bytes.byteLength && !isLineEnd(bytes[end])) {
		end++;
	}

	return buffer.toString('latin1', valueStart, end).trim();
}

function isLineEnd(byte: number | undefined): boolean {
	return byte === newline || byte === carriageReturn;
}
