import {type IncomingMessage} from 'node:http';
import {type TokenUsage} from '@valehitch/core';
import {createParser} from 'eventsource-parser';
import {type AnswerHead, type AttemptOutput} from './attempt-output.js';
import {type ChatChunk, readChatChunk, writeChatChunk} from './chat-chunk.js';
import {joinPieces} from './join-pieces.js';

/** How a streamed answer is read. */
export type EngineEventOptions = {
	/** The head that the caller is answered with. */
	readonly head: AnswerHead;
	/** The length of the text that was there before, in UTF-16 code units. */
	readonly resumeFrom: number;
	/** The tokens in that text; added to the usage that the caller is told. */
	readonly tokensBefore: number;
	/** The most bytes that the answer may have. */
	readonly maximumBytes: number;
	/** Called whenever bytes come. */
	readonly onBytes: () => void;
};

const lastEvent = '[DONE]';

/**
Reads a streamed chat answer: pieces with their exact offsets, and how it ended.

An answer is whole only when `data: [DONE]` came; a malformed event is a failure of the engine. Pieces that come with the same read are joined, and the connection of an answer that was read to its end is used again.

@param message The answer.
@param options How to read it.
@returns The pieces and the end.
@example
```ts
for await (const output of readEngineEvents(message, options)) { ... }
```
*/
export async function * readEngineEvents(message: IncomingMessage, options: EngineEventOptions): AsyncGenerator<AttemptOutput, void> {
	yield {type: 'head', head: options.head};
	const events: string[] = [];
	const parser = createParser({
		onEvent({data}) {
			events.push(data);
		},
	});
	const decoder = new TextDecoder();
	const reader = new AnswerReader(options);
	let size = 0;
	try {
		for await (const bytes of message.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			options.onBytes();
			size += bytes.byteLength;
			if (size > options.maximumBytes) {
				yield {type: 'failed', message: `Got more than ${options.maximumBytes} bytes from the engine`};
				return;
			}

			parser.feed(decoder.decode(bytes, {stream: true}));
			for (const output of joinPieces(reader.readAll(events.splice(0)))) {
				yield output;
				options.onBytes();
			}

			if (reader.ended) {
				return;
			}
		}
	} catch (error) {
		yield {type: 'broken', message: `Got a broken stream from the engine: ${error instanceof Error ? error.message : 'not readable'}`};
		return;
	} finally {
		release(message);
	}

	yield {type: 'broken', message: 'Got a stream from the engine that ended before its proper end'};
}

/** Leaves the connection of an answer that came to its end for other requests; any other is destroyed. */
function release(message: IncomingMessage): void {
	if (message.complete) {
		message.resume();
		return;
	}

	message.destroy();
}

/** Turns events into outputs; what only frames the answer is kept for the next piece or for the end. */
class AnswerReader {
	ended = false;
	#offset: number;
	readonly #tokensBefore: number;
	#tokens = 0;
	#usage: TokenUsage | undefined;
	readonly #framing: ChatChunk[] = [];

	constructor({resumeFrom, tokensBefore}: EngineEventOptions) {
		this.#offset = resumeFrom;
		this.#tokensBefore = tokensBefore;
	}

	/** Reads events up to the end of the answer; what comes after it is passed over. */
	readAll(events: readonly string[]): readonly AttemptOutput[] {
		const outputs: AttemptOutput[] = [];
		for (const data of events) {
			const output = this.#read(data);
			if (output !== undefined) {
				outputs.push(output);
			}

			if (this.ended) {
				break;
			}
		}

		return outputs;
	}

	#read(data: string): AttemptOutput | undefined {
		if (data === lastEvent) {
			this.ended = true;
			return this.#complete();
		}

		const chunk = readChatChunk(data);
		if (chunk === undefined) {
			this.ended = true;
			return {type: 'failed', message: 'Got an event from the engine that is no chunk of a chat completion'};
		}

		this.#usage = chunk.usage ?? this.#usage;
		if (chunk.text === '' && !chunk.opaque) {
			this.#framing.push(chunk);
			return undefined;
		}

		return this.#piece(chunk);
	}

	/** The text that was there before counts as output, not as input, of the whole answer. */
	#wholeUsage({input, output}: TokenUsage): TokenUsage {
		return {input: Math.max(0, input - this.#tokensBefore), output: output + this.#tokensBefore};
	}

	#piece(chunk: ChatChunk): AttemptOutput {
		const payload = [...this.#framing.splice(0), chunk].map(({event}) => event).join('');
		const length = chunk.opaque ? payload.length : chunk.text.length;
		const offset = this.#offset;
		this.#offset += length;
		this.#tokens++;
		return {
			type: 'piece', piece: {
				offset, length, tokens: 1, payload, ...(!chunk.opaque && {text: chunk.text}),
			},
		};
	}

	#complete(): AttemptOutput {
		const usage = this.#usage ?? {input: 0, output: this.#tokens};
		const trailer = this.#framing.map(({event, json, usage: reported}) => reported ? writeChatChunk(json, this.#wholeUsage(reported)) : event).join('');
		return {
			type: 'complete', offset: this.#offset, usage, trailer: `${trailer}data: ${lastEvent}\n\n`,
		};
	}
}
