import {errorAnswers, type ErrorKind, type Outcome} from './error-kinds.js';

/** A failure with its kind, what was got and wanted, and when to come back. */
export type Failure = {
	readonly kind: ErrorKind;
	/** What was got and what was wanted. */
	readonly message: string;
	/** Whether the request ran, where it differs from the answer table of the kind. */
	readonly outcome?: Outcome;
	/** Milliseconds after which a new try can succeed. */
	readonly retryAfterMilliseconds?: number;
	/** Further members for the answer, such as the current revision. */
	readonly details?: Readonly<Record<string, unknown>>;
};

/** The optional members of a failure. */
export type FailureOptions = Omit<Failure, 'kind' | 'message'>;

/**
Makes a failure.

@param kind The kind, from the closed list.
@param message What was got and wanted, in sentence case and without a full stop.
@param options The optional members.
@returns The failure.
@example
```ts
failure('no-server', 'Got no server for tag-small 1.0, wanted one that is not shutting down');
```
*/
export function failure(kind: ErrorKind, message: string, options: FailureOptions = {}): Failure {
	return {kind, message, ...options};
}

/**
Tells whether the request of a failure ran.

@param failed The failure.
@returns The outcome of the failure, or else that of its kind.
@example
```ts
outcomeOf(failure('no-server', 'Got none')); // 'notRun'
```
*/
export function outcomeOf(failed: Failure): Outcome {
	return failed.outcome ?? errorAnswers[failed.kind].outcome;
}
