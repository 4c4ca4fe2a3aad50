import {type ErrorKind, type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type z} from 'zod';

/** Options for `parseJsonBody` that replace its default error messages and kind. */
export type ParseJsonBodyOptions = {
	/** The message for a body that is not JSON; `The body is not JSON` by default. */
	readonly invalidJsonMessage?: string;
	/** The message for JSON that does not match the schema; the path and message of the first issue by default. */
	readonly schemaMismatchMessage?: string;
	/** The error kind for JSON that does not match the schema; `malformed-request` by default. */
	readonly schemaMismatchKind?: ErrorKind;
};

/**
Parses a JSON request body from an operator or a backend server and validates it against a schema.

@param source The bytes of the body and the schema.
@param options Error messages and kind that differ from the defaults.
@returns The validated value; a `malformed-request` failure if the body is not JSON; a failure of the kind `schemaMismatchKind` if it does not match the schema.
@example
```ts
body.chain(bytes => parseJsonBody({bytes, schema: orderRequestSchema}));
```
*/
export function parseJsonBody<Value>({bytes, schema}: {readonly bytes: Uint8Array; readonly schema: z.ZodType<Value>}, options: ParseJsonBodyOptions = {}): Either<Failure, Value> {
	let json: unknown;
	try {
		json = JSON.parse(new TextDecoder().decode(bytes));
	} catch {
		return Left(failure('malformed-request', options.invalidJsonMessage ?? 'The body is not JSON'));
	}

	const parsed = schema.safeParse(json);
	if (parsed.success) {
		return Right(parsed.data);
	}

	const [issue] = parsed.error.issues;
	return Left(failure(
		options.schemaMismatchKind ?? 'malformed-request',
		options.schemaMismatchMessage ?? `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'not valid'}`,
	));
}
