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

const wholeSchema = z.looseObject({choices: z.array(z.unknown()), usage: usageSchema.nullish()});

/** One event of a streamed chat answer. */
export type ChatChunk = {
	/** The event as it is handed on where no usage is to be told: as it came, byte for byte, unless it tells of usage or has several lines. */
	readonly event: string;
	/** The event's members, without the usage. */
	readonly json: Readonly<Record<string, unknown>>;
	/** The text that it adds; empty for one that only frames the answer. */
	readonly text: string;
	/** Whether it holds more than a piece of the one text, so that a resume could not be exact. */
	readonly opaque: boolean;
	readonly usage?: TokenUsage;
};

const textMembers: ReadonlySet<string> = new Set(['role', 'content']);

/**
Reads the data of one event of a streamed chat answer.

@param data The event's data.
@returns The chunk, or undefined where the data is none.
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
	const isHandedOnAsItCame = !usage && !data.includes('\n');
	return {
		event: isHandedOnAsItCame ? `data: ${data}\n\n` : writeChatChunk(json),
		json,
		text: choice?.delta.content ?? '',
		opaque: choices.length > 1 || choices.some(({index, delta}) => index !== 0 || hasMore(delta)),
		...(usage && {usage: usageOf(usage)}),
	};
}

/**
Reads the usage that a whole chat answer reports.

@param body The answer.
@returns The usage, zeros where it reports none, or undefined where the body is no chat answer.
@example
```ts
readWholeUsage(body)?.output;
```
*/
export function readWholeUsage(body: Uint8Array): TokenUsage | undefined {
	const parsed = wholeSchema.safeParse(parseJson(new TextDecoder().decode(body)));
	if (!parsed.success) {
		return undefined;
	}

	return parsed.data.usage ? usageOf(parsed.data.usage) : {input: 0, output: 0};
}

/**
Writes an event of a streamed chat answer.

@param json The event.
@param usage The usage to report, where the event reports it.
@returns The bytes as text.
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

function hasMore(delta: Readonly<Record<string, unknown>>): boolean {
	return Object.keys(delta).some(member => !textMembers.has(member) && delta[member] !== null);
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
