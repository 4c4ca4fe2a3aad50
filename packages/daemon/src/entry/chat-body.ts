import {type Failure, failure, type RequestFacts} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import * as z from 'zod';

const charactersPerToken = 4;
const prefixCharacters = 256;

const chatSchema = z.looseObject({
	model: z.string().min(1).max(256),
	messages: z.array(z.looseObject({
		role: z.string().max(64),
		content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional(),
	})).min(1).max(10_000),
	stream: z.boolean().optional(),
	max_tokens: z.int().min(1).max(1_000_000).optional(),
});

/** A chat-completions request body; unknown members are passed through. */
export type ChatBody = z.infer<typeof chatSchema>;

/**
Parses and validates a chat-completions request body.

@param bytes The body, as UTF-8 JSON.
@returns The body, or a `malformed-request` failure that names the invalid field.
@example
```ts
parseChatBody(bytes).map(body => body.model);
```
*/
export function parseChatBody(bytes: Uint8Array): Either<Failure, ChatBody> {
	let json: unknown;
	try {
		json = JSON.parse(new TextDecoder('utf-8', {fatal: true}).decode(bytes));
	} catch (error) {
		return Left(failure('malformed-request', `Request body is not valid UTF-8 JSON: ${error instanceof Error ? error.message : 'not readable'}`));
	}

	const parsed = chatSchema.safeParse(json);
	if (parsed.success) {
		return Right(parsed.data);
	}

	const [issue] = parsed.error.issues;
	return Left(failure('malformed-request', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'not valid'}`));
}

/** Request facts that come from the headers. */
export type HeaderFacts = {
	readonly class: string;
	readonly session: boolean;
};

/**
Collects the facts that a policy program can refer to.

@param body The body.
@param options The facts from the headers.
@returns The facts; the number of prompt tokens is estimated at four characters per token.
@example
```ts
factsOf(body, {class: 'lookup', session: false});
```
*/
export function factsOf(body: ChatBody, options: HeaderFacts): RequestFacts {
	let characters = 0;
	for (const {content} of body.messages) {
		characters += typeof content === 'string' ? content.length : JSON.stringify(content ?? '').length;
	}

	return {
		class: options.class,
		model: body.model,
		stream: body.stream ?? false,
		promptTokens: Math.ceil(characters / charactersPerToken),
		maxTokens: body.max_tokens ?? 0,
		session: options.session,
	};
}

/**
Returns the beginning of a prompt, which identifies the engines' prompt cache entry.

@param body The body.
@returns The text of the first messages, until it has at least 256 characters.
@example
```ts
prefixHash(promptPrefixOf(body));
```
*/
export function promptPrefixOf(body: ChatBody): string {
	let prompt = '';
	for (const {role, content} of body.messages) {
		prompt += `${role}: ${typeof content === 'string' ? content.slice(0, prefixCharacters) : JSON.stringify(content ?? '').slice(0, prefixCharacters)}\n`;
		if (prompt.length >= prefixCharacters) {
			break;
		}
	}

	return prompt;
}
