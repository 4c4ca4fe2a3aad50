import {type TokenUsage} from '@valehitch/core';
import * as z from 'zod';

const usageSchema = z.looseObject({
	prompt_tokens: z.int().min(0).default(0),
	completion_tokens: z.int().min(0).default(0),
});

const chunkSchema = z.looseObject({
	choices: z.array(z.looseObject({
		index: z.int().min(0).default(0),
		delta: z.looseObject({
			role: z.string().nullish(),
			content: z.string().nullish(),
		}).default({}),
	})).default([]),
	usage: usageSchema.nullish(),
	error: z.unknown().optional(),
});

const completionSchema = z.looseObject({choices: z.array(z.unknown()), usage: usageSchema.nullish()});

/** One event of a streamed chat completion. */
export type ChatChunk = {
	/** The event to forward when no usage is reported: byte for byte as received, unless it contains usage or spans several lines. */
	readonly event: string;
	/** The members of the event, without `usage`. */
	readonly json: Readonly<Record<string, unknown>>;
	/** The text added by the event; empty for an event without content, such as the initial role. */
	readonly text: string;
	/** Whether the event contains anything besides text of the first choice, such as a tool call; an answer with such an event cannot be resumed exactly. */
	readonly opaque: boolean;
	readonly usage?: TokenUsage;
};

const textMembers: ReadonlySet<string> = new Set(['role', 'content']);

/**
Parses the data of one event of a streamed chat completion.

@param data The event's data.
@returns The chunk, or undefined if the data is not a chunk or reports an error.
@example
```ts
readChatChunk('{"choices": [{"index": 0, "delta": {"content": "Tag "}}]}')?.text; // 'Tag '
```
*/
export function readChatChunk(data: string): ChatChunk | undefined {
	const parsed = chunkSchema.safeParse(parseJson(data));
	if (!parsed.success || parsed.data.error !== undefined) {
		return undefined;
	}

	const {choices, usage, ...others} = parsed.data;
	const [choice] = choices;
	const json = {...others, choices};
	const isForwardedUnchanged = !usage && !data.includes('\n');
	return {
		event: isForwardedUnchanged ? `data: ${data}\n\n` : writeChatChunk(json),
		json,
		text: choice?.delta.content ?? '',
		opaque: choices.length > 1 || choices.some(({index, delta}) => index !== 0 || hasOtherMembers(delta)),
		...(usage && {usage: usageOf(usage)}),
	};
}

/**
Reads the token usage from a non-streamed chat completion.

@param body The response body.
@returns The usage, zeros if none is reported, or undefined if the body is not a chat completion.
@example
```ts
readCompletionUsage(body)?.output;
```
*/
export function readCompletionUsage(body: Uint8Array): TokenUsage | undefined {
	const parsed = completionSchema.safeParse(parseJson(new TextDecoder().decode(body)));
	if (!parsed.success) {
		return undefined;
	}

	return parsed.data.usage ? usageOf(parsed.data.usage) : {input: 0, output: 0};
}

/**
Serializes an event of a streamed chat completion.

@param json The event.
@param usage The usage to include, if any.
@returns The server-sent event.
@example
```ts
writeChatChunk(chunk.json);
```
*/
export function writeChatChunk(json: Readonly<Record<string, unknown>>, usage?: TokenUsage): string {
	const reported = usage && {
		usage: {prompt_tokens: usage.input, completion_tokens: usage.output, total_tokens: usage.input + usage.output},
	};
	return `data: ${JSON.stringify({...json, ...reported})}\n\n`;
}

function usageOf(usage: z.infer<typeof usageSchema>): TokenUsage {
	return {input: usage.prompt_tokens, output: usage.completion_tokens};
}

function hasOtherMembers(delta: Readonly<Record<string, unknown>>): boolean {
	return Object.keys(delta).some(member => !textMembers.has(member) && delta[member] !== null);
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
