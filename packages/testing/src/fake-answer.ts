import {createHash} from 'node:crypto';

/** A chat message, as a caller sends it. */
export type ChatMessage = {
	readonly role: string;
	readonly content: string;
};

/** The inputs that determine the fake engine's response. */
export type FakeResponseOptions = {
	/** The model and version, such as `tag-small@1.0`. */
	readonly version: string;
	readonly messages: readonly ChatMessage[];
	/** Number of tokens in the complete response. */
	readonly tokens: number;
	/** The text generated so far; undefined to start from the beginning. */
	readonly resumeText?: string | undefined;
};

const words = ['amber', 'birch', 'cedar', 'delta', 'ember', 'field', 'grain', 'harbour', 'island', 'juniper', 'kettle', 'lantern', 'meadow', 'north', 'orchard', 'prairie'] as const;
const tokenPattern = /\S+\s*/gv;

/**
Generates the fake engine's response tokens deterministically from the input.

A resumed response continues right after the text generated so far. If that text came from another version, the same number of tokens is skipped.

@param options The inputs that determine the response.
@returns The tokens, whose concatenation is the response text.
@example
```ts
generateFakeTokens({version: 'tag-small@1.0', messages: [{role: 'user', content: 'Tag this'}], tokens: 3}).join('');
```
*/
export function generateFakeTokens(options: FakeResponseOptions): readonly string[] {
	const tokens = tokensFromStart(options);
	const resumeText = options.resumeText ?? '';
	const completeText = tokens.join('');
	return completeText.startsWith(resumeText)
		? tokenize(completeText.slice(resumeText.length))
		: tokens.slice(tokenize(resumeText).length);
}

/**
Counts the tokens of messages as the fake engine does: one per word.

@param messages The chat messages.
@returns The number of tokens.
@example
```ts
countPromptTokens([{role: 'user', content: 'Tag this'}]); // 2
```
*/
export function countPromptTokens(messages: readonly ChatMessage[]): number {
	let total = 0;
	for (const message of messages) {
		total += tokenize(message.content).length;
	}

	return total;
}

function tokensFromStart({version, messages, tokens}: FakeResponseOptions): string[] {
	const seed = createHash('sha256').update(JSON.stringify([version, messages.map(({role, content}) => [role, content])])).digest();
	return Array.from({length: tokens}, (_, index) => {
		const byte = seed[index % seed.length] ?? 0;
		return `${words[(byte + index) % words.length]}${index} `;
	});
}

function tokenize(text: string): string[] {
	return text.match(tokenPattern) ?? [];
}
