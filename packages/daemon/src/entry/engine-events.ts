import {type IncomingMessage} from 'node:http';
import {type TokenUsage} from '@valehitch/core';
import {limitReceived} from '@valehitch/transport';
import {createParser} from 'eventsource-parser';
import {type AnswerHead, type AttemptOutput} from './attempt-output.js';
import {type ChatChunk, readChatChunk, writeChatChunk} from './chat-chunk.js';
import {joinPieces} from './join-pieces.js';

/** Options for {@linkcode readEngineEvents}. */
export type EngineEventOptions = {
	/** The status and headers sent to the caller. */
	readonly head: AnswerHead;
	/** The length of the text that a resumed answer continues, in UTF-16 code units. */
	readonly resumeFrom: number;
	/** The number of tokens in that text, which is counted as output in the usage reported to the caller. */
	readonly tokensBefore: number;
	/** The maximum size of the answer, in bytes. */
	readonly maximumBytes: number;
	/** Called when bytes are received, and after each output that the consumer has taken. */
	readonly onBytes: () => void;
};

const doneEvent = '[DONE]';

/**
Reads a streamed chat completion as pieces with exact offsets, followed by its result.

An answer is complete only if it ends with `data: [DONE]`. A malformed event is a failure of the engine. Pieces received in the same read are joined. If the response was read to its end, its connection is reused.

@param message The response.
@param options The head, the resume position and the limits.
@returns The outputs of the attempt.
@example
```ts
for await (const output of readEngineEvents(message, options)) { ... }
```
*/
export async function * readEngineEvents(message: IncomingMessage, options: EngineEventOptions): AsyncGenerator<AttemptOutput, void> {
	limitReceived(message, options.maximumBytes);
	yield {type: 'head', head: options.head};
	const events: string[] = [];
	const parser = createParser({
		onEvent({data}) {
			events.push(data);
		},
	});
	const decoder = new TextDecoder();
	const converter = new EventConverter(options);
	let size = 0;
	try {
		for await (const bytes of message.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			options.onBytes();
			size += bytes.byteLength;
			if (size > options.maximumBytes) {
				yield {type: 'failed', message: `Response from the engine exceeds ${options.maximumBytes} bytes`};
				return;
			}

			parser.feed(decoder.decode(bytes, {stream: true}));
			for (const output of joinPieces(converter.convertAll(events.splice(0)))) {
				yield output;
				options.onBytes();
			}

			if (converter.ended) {
				return;
			}
		}
	} catch (error) {
		yield {type: 'broken', message: `Connection to the engine was lost during the response: ${error instanceof Error ? error.message : 'not readable'}`};
		return;
	} finally {
		releaseConnection(message);
	}

	yield {type: 'broken', message: 'Response from the engine ended without the [DONE] event'};
}

/** Returns the connection to the pool if the response is complete, and destroys it otherwise. */
function releaseConnection(message: IncomingMessage): void {
	if (message.complete) {
		message.resume();
		return;
	}

	message.destroy();
}

/** Converts events into outputs. Events without content are buffered and sent with the next piece or with the trailer. */
class EventConverter {
	ended = false;
	#offset: number;
	readonly #tokensBefore: number;
	#tokens = 0;
	#usage: TokenUsage | undefined;
	readonly #bufferedChunks: ChatChunk[] = [];

	constructor({resumeFrom, tokensBefore}: EngineEventOptions) {
		this.#offset = resumeFrom;
		this.#tokensBefore = tokensBefore;
	}

	/** Converts events up to the end of the answer and ignores any that follow. */
	convertAll(events: readonly string[]): readonly AttemptOutput[] {
		const outputs: AttemptOutput[] = [];
		for (const data of events) {
			const output = this.#convert(data);
			if (output !== undefined) {
				outputs.push(output);
			}

			if (this.ended) {
				break;
			}
		}

		return outputs;
	}

	#convert(data: string): AttemptOutput | undefined {
		if (data === doneEvent) {
			this.ended = true;
			return this.#toComplete();
		}

		const chunk = readChatChunk(data);
		if (chunk === undefined) {
			this.ended = true;
			return {type: 'failed', message: 'Event from the engine is not a chat completion chunk'};
		}

		this.#usage = chunk.usage ?? this.#usage;
		if (chunk.text === '' && !chunk.opaque) {
			this.#bufferedChunks.push(chunk);
			return undefined;
		}

		return this.#toPiece(chunk);
	}

	/** Moves the tokens of the resumed text, which the engine counts as input, to the output of the whole answer. */
	#adjustUsage({input, output}: TokenUsage): TokenUsage {
		return {input: Math.max(0, input - this.#tokensBefore), output: output + this.#tokensBefore};
	}

	#toPiece(chunk: ChatChunk): AttemptOutput {
		const payload = [...this.#bufferedChunks.splice(0), chunk].map(({event}) => event).join('');
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

	#toComplete(): AttemptOutput {
		const usage = this.#usage ?? {input: 0, output: this.#tokens};
		const trailer = this.#bufferedChunks.map(({event, json, usage: reported}) => reported ? writeChatChunk(json, this.#adjustUsage(reported)) : event).join('');
		return {
			type: 'complete', offset: this.#offset, usage, trailer: `${trailer}data: ${doneEvent}\n\n`,
		};
	}
}
