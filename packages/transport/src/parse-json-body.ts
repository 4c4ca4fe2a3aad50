import {type ErrorKind, type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type z} from 'zod';

/** How a body that is not as wanted is answered. */
export type ParseJsonBodyOptions = {
	/** The message for a body that is not JSON; `Got a body that is not JSON` unless given. */
	readonly notJson?: string;
	/** The message for JSON that does not fit; the path and text of the first problem unless given. */
	readonly misfit?: string;
	/** The kind of error of JSON that does not fit; `malformed-request` unless given. */
	readonly misfitKind?: ErrorKind;
};

/**
Parses the JSON body of an operator or a back end against a schema.

@param source The bytes of the body and the schema.
@param options How a body that is not as wanted is answered.
@returns What the schema gives, or `malformed-request` (`misfitKind` where the JSON does not fit).
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
		return Left(failure('malformed-request', options.notJson ?? 'Got a body that is not JSON'));
	}

	const parsed = schema.safeParse(json);
	if (parsed.success) {
		return Right(parsed.data);
	}

	const [issue] = parsed.error.issues;
	return Left(failure(
		options.misfitKind ?? 'malformed-request',
		options.misfit ?? `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'not valid'}`,
	));
}
