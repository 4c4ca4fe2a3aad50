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

/** A body in the chat-completions shape; members that are not known are handed on. */
export type ChatBody = z.infer<typeof chatSchema>;

/**
Parses the body of a chat completion.

@param bytes The body.
@returns The body, or `malformed-request` that names the field.
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
		return Left(failure('malformed-request', `Got a body that is not JSON in UTF-8: ${error instanceof Error ? error.message : 'not readable'}`));
	}

	const parsed = chatSchema.safeParse(json);
	if (parsed.success) {
		return Right(parsed.data);
	}

	const [issue] = parsed.error.issues;
	return Left(failure('malformed-request', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'not valid'}`));
}

/** What the headers add to the facts. */
export type FactOptions = {
	readonly class: string;
	readonly session: boolean;
};

/**
Gathers what a policy program may ask about a request.

@param body The body.
@param options What the headers say.
@returns The facts; prompt tokens are estimated at four characters each.
@example
```ts
factsOf(body, {class: 'lookup', session: false});
```
*/
export function factsOf(body: ChatBody, options: FactOptions): RequestFacts {
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
The beginning of a prompt, by which engines cache it.

@param body The body.
@returns The text of the messages up to the length that counts.
@example
```ts
prefixHash(promptOf(body));
```
*/
export function promptOf(body: ChatBody): string {
	let prompt = '';
	for (const {role, content} of body.messages) {
		prompt += `${role}: ${typeof content === 'string' ? content.slice(0, prefixCharacters) : JSON.stringify(content ?? '').slice(0, prefixCharacters)}\n`;
		if (prompt.length >= prefixCharacters) {
			break;
		}
	}

	return prompt;
}
