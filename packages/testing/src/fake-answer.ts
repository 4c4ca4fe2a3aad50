import {createHash} from 'node:crypto';

/** A message of a chat, as a caller sends it. */
export type ChatMessage = {
	readonly role: string;
	readonly content: string;
};

/** What decides the answer of the fake engine. */
export type FakeAnswerOptions = {
	/** The model and version, such as `tag-small@1.0`. */
	readonly version: string;
	readonly messages: readonly ChatMessage[];
	/** Tokens in the whole answer. */
	readonly tokens: number;
	/** The text so far; undefined for an answer from the start. */
	readonly resumeText?: string | undefined;
};

const words = ['amber', 'birch', 'cedar', 'delta', 'ember', 'field', 'grain', 'harbour', 'island', 'juniper', 'kettle', 'lantern', 'meadow', 'north', 'orchard', 'prairie'] as const;
const tokenPattern = /\S+\s*/gv;

/**
Works out the tokens that the fake engine answers; the same input gives the same tokens.

A resumed answer goes on right after the text so far. Where that text came from another version, it goes on after as many tokens.

@param options What decides the answer.
@returns The tokens, whose concatenation is the answer.
@example
```ts
fakeAnswer({version: 'tag-small@1.0', messages: [{role: 'user', content: 'Tag this'}], tokens: 3}).join('');
```
*/
export function fakeAnswer(options: FakeAnswerOptions): readonly string[] {
	const tokens = tokensFromStart(options);
	const before = options.resumeText ?? '';
	const whole = tokens.join('');
	return whole.startsWith(before)
		? tokensOf(whole.slice(before.length))
		: tokens.slice(tokensOf(before).length);
}

/**
Counts the tokens of messages as the fake engine does: one a word.

@param messages The messages of a chat.
@returns The number of tokens.
@example
```ts
countPromptTokens([{role: 'user', content: 'Tag this'}]); // 2
```
*/
export function countPromptTokens(messages: readonly ChatMessage[]): number {
	let total = 0;
	for (const message of messages) {
		total += tokensOf(message.content).length;
	}

	return total;
}

function tokensFromStart({version, messages, tokens}: FakeAnswerOptions): string[] {
	const seed = createHash('sha256').update(JSON.stringify([version, messages.map(({role, content}) => [role, content])])).digest();
	return Array.from({length: tokens}, (_, index) => {
		const byte = seed[index % seed.length] ?? 0;
		return `${words[(byte + index) % words.length]}${index} `;
	});
}

function tokensOf(text: string): string[] {
	return text.match(tokenPattern) ?? [];
}
