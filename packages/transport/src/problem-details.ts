import {type ServerResponse} from 'node:http';
import {errorResponses, type Failure, outcomeOf} from '@valehitch/core';
import {abortResponse} from './abort-response.js';

const millisecondsPerSecond = 1000;

/** Additional members of problem details. */
export type ProblemDetailsOptions = {
	/** The id of the request, if one was assigned. */
	readonly requestId?: string;
};

/** Problem details as defined by RFC 9457, with extension members of valehitch. */
export type ProblemDetails = {
	readonly type: string;
	readonly title: string;
	readonly status: number;
	readonly detail: string;
	readonly kind: string;
	readonly outcome: string;
	readonly requestId?: string;
	readonly details?: Readonly<Record<string, unknown>>;
};

/**
Converts a failure to problem details.

@param failed The failure.
@param options The request's id.
@returns The problem details.
@example
```ts
toProblemDetails(failure('no-server', 'No backend server is available')).status; // 503
```
*/
export function toProblemDetails(failed: Failure, options: ProblemDetailsOptions = {}): ProblemDetails {
	const {status, title} = errorResponses[failed.kind];
	return {
		type: `urn:valehitch:error:${failed.kind}`,
		title,
		status,
		detail: failed.message,
		kind: failed.kind,
		outcome: outcomeOf(failed),
		...(options.requestId !== undefined && {requestId: options.requestId}),
		...(failed.details !== undefined && {details: failed.details}),
	};
}

/**
Sends a failure as problem details. Aborts the response instead if its headers were already sent; a complete one is left as it is.

@param response The response.
@param failed The failure.
@param options The request's id.
@example
```ts
sendProblem(response, failure('not-found', 'There is no resource at /x'));
```
*/
export function sendProblem(response: ServerResponse, failed: Failure, options: ProblemDetailsOptions = {}): void {
	if (response.writableEnded) {
		return;
	}

	if (response.headersSent || response.destroyed) {
		abortResponse(response);
		return;
	}

	const problem = toProblemDetails(failed, options);
	response.statusCode = problem.status;
	response.setHeader('Content-Type', 'application/problem+json');
	if (failed.retryAfterMilliseconds !== undefined) {
		response.setHeader('Retry-After', String(Math.max(1, Math.ceil(failed.retryAfterMilliseconds / millisecondsPerSecond))));
	}

	response.end(JSON.stringify(problem));
}
