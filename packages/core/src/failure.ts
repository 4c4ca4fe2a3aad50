import {errorResponses, type ErrorKind, type Outcome} from './error-kinds.js';

/** A failure with its kind, a message, and an optional retry delay. */
export type Failure = {
	readonly kind: ErrorKind;
	/** The error message. */
	readonly message: string;
	/** Whether the request ran, if that differs from the outcome of the kind. */
	readonly outcome?: Outcome;
	/** Milliseconds after which a retry can succeed. */
	readonly retryAfterMilliseconds?: number;
	/** Additional members of the response body, such as the current revision. */
	readonly details?: Readonly<Record<string, unknown>>;
};

/** The optional members of a failure. */
export type FailureOptions = Omit<Failure, 'kind' | 'message'>;

/**
Creates a failure.

@param kind The error kind.
@param message The error message, in sentence case and without a full stop.
@param options The optional members.
@returns The failure.
@example
```ts
failure('no-server', 'No server for tag-small 1.0 accepts work');
```
*/
export function failure(kind: ErrorKind, message: string, options: FailureOptions = {}): Failure {
	return {kind, message, ...options};
}

/**
Returns whether the request of a failure ran.

@param failed The failure.
@returns The outcome of the failure, or that of its kind if it specifies none.
@example
```ts
outcomeOf(failure('no-server', 'No server is available')); // 'notRun'
```
*/
export function outcomeOf(failed: Failure): Outcome {
	return failed.outcome ?? errorResponses[failed.kind].outcome;
}
