import {type IncomingMessage} from 'node:http';
import {type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** The request headers of a caller, without its API key. */
export type CallerHeaders = {
	/** The request class for the policy program, or an empty string. */
	readonly class: string;
	/** `new`, a session token, or an empty string. */
	readonly session: string;
	/** The idempotency key; undefined if the header is absent. */
	readonly key: string | undefined;
	/** The time from arrival to the last byte, in milliseconds; undefined if the header is absent. */
	readonly deadlineMilliseconds: number | undefined;
};

type HeaderRule = {
	readonly name: string;
	readonly pattern: RegExp;
	readonly expected: string;
};

const longestDeadlineMilliseconds = 3_600_000;
const classRule = {name: 'Valehitch-Class', pattern: /^[\u0020-\u007E]{1,128}$/v, expected: '1 to 128 visible characters'};
const sessionRule = {name: 'Valehitch-Session', pattern: /^[\u0021-\u007E]{1,2048}$/v, expected: '`new` or a token of up to 2048 visible characters'};
const keyRule = {name: 'Idempotency-Key', pattern: /^[\u0021-\u007E]{1,256}$/v, expected: '1 to 256 visible characters'};
const deadlineRule = {name: 'Valehitch-Deadline-Milliseconds', pattern: /^[1-9]\d{0,6}$/v, expected: `a whole number from 1 to ${longestDeadlineMilliseconds}`};
const authorizationRule = {name: 'Authorization', pattern: /^.*$/sv, expected: 'one Bearer key'};

/**
Parses the headers of a caller's request.

@param request The request.
@returns The headers, or a `malformed-request` failure that names the duplicate or invalid header.
@example
```ts
readCallerHeaders(request).map(headers => headers.key);
```
*/
export function readCallerHeaders(request: IncomingMessage): Either<Failure, CallerHeaders> {
	return readHeader(request, authorizationRule)
		.chain(() => readHeader(request, classRule))
		.chain(requestClass => readHeader(request, sessionRule)
			.chain(session => readHeader(request, keyRule)
				.chain(key => readDeadline(request)
					.map(deadlineMilliseconds => ({
						class: requestClass ?? '', session: session ?? '', key, deadlineMilliseconds,
					})))));
}

function readDeadline(request: IncomingMessage): Either<Failure, number | undefined> {
	return readHeader(request, deadlineRule).chain(text => {
		if (text === undefined) {
			return Right(undefined);
		}

		const milliseconds = Number(text);
		return milliseconds <= longestDeadlineMilliseconds ? Right(milliseconds) : malformed(deadlineRule, text);
	});
}

function readHeader(request: IncomingMessage, rule: HeaderRule): Either<Failure, string | undefined> {
	const values = request.headersDistinct[rule.name.toLowerCase()] ?? [];
	const [value] = values;
	if (values.length > 1) {
		return malformed(rule, `${values.length} headers of this name`);
	}

	if (value === undefined || rule.pattern.test(value)) {
		return Right(value);
	}

	return malformed(rule, value === '' ? 'an empty value' : `${value.slice(0, 32)} (${value.length} characters)`);
}

function malformed(rule: HeaderRule, got: string): Either<Failure, never> {
	return Left(failure('malformed-request', `Invalid ${rule.name} header: expected ${rule.expected}, got ${got}`));
}
