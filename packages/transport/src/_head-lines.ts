const lineFeed = 10;
const carriageReturn = 13;
/** The position of the status in a head, and its first digit in an interim answer. */
const statusPosition = 9;
const interimDigit = 49;

/**
Follows the lines of the head of an answer, with those of the interim answers (1xx) before it.

@example
```ts
const lines = new HeadLines();
lines.push(chunk, 64);
lines.areMalformed;
```
*/
export class HeadLines {
	#hasEnded = false;
	#areMalformed = false;
	#isInterim = false;
	#interimAnswers = 0;
	#afterCarriageReturn = false;
	/** The bytes of the head and of the line so far, without line ends. */
	#headLength = 0;
	#lineLength = 0;

	/** Whether a line ended with a carriage return or a line feed alone. */
	get areMalformed(): boolean {
		return this.#areMalformed;
	}

	/** The number of interim answers. */
	get interimAnswers(): number {
		return this.#interimAnswers;
	}

	/**
	Appends bytes of the connection, up to the end of the head, of a malformed line, or of one interim answer more than the maximum.

	@param bytes The bytes.
	@param maximumInterimAnswers The number of interim answers.
	@returns The position after the last byte that was read.
	*/
	push(bytes: Uint8Array, maximumInterimAnswers: number): number {
		let position = 0;
		for (const byte of bytes) {
			if (this.#hasEnded || this.#areMalformed || this.#interimAnswers > maximumInterimAnswers) {
				break;
			}

			this.#read(byte);
			position++;
		}

		return position;
	}

	#read(byte: number): void {
		this.#areMalformed = this.#afterCarriageReturn !== (byte === lineFeed);
		this.#afterCarriageReturn = byte === carriageReturn;
		if (byte === lineFeed) {
			this.#endLine();
		} else if (byte !== carriageReturn) {
			this.#isInterim ||= this.#headLength === statusPosition && byte === interimDigit;
			this.#headLength++;
			this.#lineLength++;
		}
	}

	#endLine(): void {
		const isEmpty = this.#lineLength === 0;
		this.#lineLength = 0;
		// An empty line may precede a head.
		if (!isEmpty || this.#headLength === 0) {
			return;
		}

		this.#hasEnded = !this.#isInterim;
		this.#interimAnswers += Number(this.#isInterim);
		this.#isInterim = false;
		this.#headLength = 0;
	}
}
