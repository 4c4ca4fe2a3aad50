import {Buffer} from 'node:buffer';

/**
Bytes that arrive in chunks, kept in one buffer. A list of chunks would keep an object of some hundred bytes for each, even for chunks of one byte, and joining all of them at each chunk would copy them as often.

@example
```ts
const bytes = new GrowingBytes();
bytes.append(chunk);
bytes.view;
```
*/
export class GrowingBytes {
	readonly #expected: number;
	#buffer = Buffer.alloc(0);
	#length = 0;

	/**
	@param expected The number of bytes that are expected, so that no more is held for them; unknown by default.
	*/
	constructor(expected = Number.POSITIVE_INFINITY) {
		this.#expected = expected;
	}

	/** The number of bytes. */
	get length(): number {
		return this.#length;
	}

	/** The memory that is held for them, in bytes; at most twice their number. */
	get capacity(): number {
		return this.#buffer.byteLength;
	}

	/** The bytes, without a copy. */
	get view(): Uint8Array {
		return this.#buffer.subarray(0, this.#length);
	}

	/**
	Returns the memory that will be held with more bytes.

	@param bytes The number of bytes that are to be appended.
	@returns The memory, in bytes.
	*/
	capacityWith(bytes: number): number {
		const length = this.#length + bytes;
		return length <= this.capacity ? this.capacity : Math.max(length, Math.min(2 * this.#length, this.#expected));
	}

	/**
	Appends a copy of bytes. Views that were taken before stay as they are.

	@param chunk The bytes.
	*/
	append(chunk: Uint8Array): void {
		const capacity = this.capacityWith(chunk.byteLength);
		if (capacity > this.capacity) {
			const larger = Buffer.allocUnsafeSlow(capacity);
			larger.set(this.view);
			this.#buffer = larger;
		}

		this.#buffer.set(chunk, this.#length);
		this.#length += chunk.byteLength;
	}
}
