/** What is wrong with the head of an answer (RFC 9112, sections 2.2, 4 and 5). */
export type HeadProblem = 'line-end' | 'status-line' | 'header-field';

const lineFeed = 10;
const carriageReturn = 13;
const colon = 58;
const deletion = 127;
const tab = 9;
const space = 32;
const firstDigit = 48;
const switchingProtocols = 101;
/** The first and the last status of an answer (RFC 9110, section 15). */
const firstStatus = 100;
const lastStatus = 599;
const firstFinalStatus = 200;
/** The text of a status line before its status, where `#` is a digit of the minor version, and the positions of its parts. */
const versionText = [...'HTTP/1.#'].map(character => character.codePointAt(0));
const minorVersionPosition = versionText.length - 1;
const lastMinorVersion = 1;
const statusPosition = versionText.length + 1;
const statusEnd = statusPosition + 3;
const highestByte = 255;
const nameSymbols = '!#$%&\'*+-.^_`|~';
/** Whether each byte may be in the name of a header field. */
const isNameByte = Array.from({length: highestByte + 1}, (_, byte) => {
	const character = String.fromCodePoint(byte);
	return nameSymbols.includes(character) || /^[\da-z]$/iv.test(character);
});

/**
Follows the lines of the head of an answer, with those of the interim answers (1xx) before it, and finds what is malformed in it.

An answer that switches to another protocol (101) is malformed, since no request asks for that.

@example
```ts
const lines = new HeadLines();
lines.push(chunk, 64);
lines.problem;
```
*/
export class HeadLines {
	#hasEnded = false;
	#problem: HeadProblem | undefined;
	#interimAnswers = 0;
	#afterCarriageReturn = false;
	/** Whether the current line is the status line, or an empty one before it. */
	#isStatusLine = true;
	/** The status that has been read so far. */
	#status = 0;
	/** The bytes of the line so far, without its end. */
	#lineLength = 0;
	#hasColon = false;

	/** What is malformed; undefined if nothing is so far. */
	get problem(): HeadProblem | undefined {
		return this.#problem;
	}

	/** The number of interim answers. */
	get interimAnswers(): number {
		return this.#interimAnswers;
	}

	/**
	Appends bytes of the connection, up to the end of the head, the first that is malformed, or one interim answer more than the maximum.

	@param bytes The bytes.
	@param maximumInterimAnswers The number of interim answers.
	@returns The position after the last byte that was read.
	*/
	push(bytes: Uint8Array, maximumInterimAnswers: number): number {
		let position = 0;
		for (const byte of bytes) {
			if (this.#hasEnded || this.#problem !== undefined || this.#interimAnswers > maximumInterimAnswers) {
				break;
			}

			this.#read(byte);
			position++;
		}

		return position;
	}

	#read(byte: number): void {
		if (this.#afterCarriageReturn !== (byte === lineFeed)) {
			this.#problem = 'line-end';
			return;
		}

		this.#afterCarriageReturn = byte === carriageReturn;
		if (byte === lineFeed) {
			this.#endLine();
		} else if (byte !== carriageReturn) {
			this.#readText(byte);
			this.#lineLength++;
		}
	}

	#readText(byte: number): void {
		if (this.#isStatusLine) {
			if (!this.#continuesStatusLine(byte)) {
				this.#problem = 'status-line';
			}
		} else if (!this.#continuesField(byte)) {
			this.#problem = 'header-field';
		}
	}

	#continuesStatusLine(byte: number): boolean {
		const position = this.#lineLength;
		if (position >= statusPosition && position < statusEnd) {
			const digit = byte - firstDigit;
			this.#status = (this.#status * 10) + digit;
			return digit >= 0 && digit <= 9;
		}

		if (position > statusEnd) {
			return isText(byte);
		}

		if (position === minorVersionPosition) {
			return byte - firstDigit >= 0 && byte - firstDigit <= lastMinorVersion;
		}

		return byte === (versionText[position] ?? space);
	}

	#continuesField(byte: number): boolean {
		if (this.#hasColon) {
			return isText(byte);
		}

		this.#hasColon = byte === colon;
		return this.#hasColon ? this.#lineLength > 0 : isNameByte[byte] === true;
	}

	#endLine(): void {
		if (this.#lineLength === 0) {
			// An empty line may precede a head.
			if (!this.#isStatusLine) {
				this.#endHead();
			}

			return;
		}

		if (this.#isStatusLine && !this.#hasStatus()) {
			this.#problem = 'status-line';
		} else if (!this.#isStatusLine && !this.#hasColon) {
			this.#problem = 'header-field';
		}

		this.#isStatusLine = false;
		this.#lineLength = 0;
		this.#hasColon = false;
	}

	#hasStatus(): boolean {
		return this.#lineLength >= statusEnd && this.#status >= firstStatus && this.#status <= lastStatus && this.#status !== switchingProtocols;
	}

	#endHead(): void {
		const isInterim = this.#status < firstFinalStatus;
		this.#hasEnded = !isInterim;
		this.#interimAnswers += Number(isInterim);
		this.#isStatusLine = true;
		this.#status = 0;
	}
}

/** Whether a byte may be in the value of a header field, or in a reason phrase. */
function isText(byte: number): boolean {
	return byte === tab || (byte >= space && byte !== deletion);
}
