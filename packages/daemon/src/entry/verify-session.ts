import {
	type Failure, failure, type WorkspaceId,
} from '@valehitch/core';
import {readSessionToken, type Session, type SessionKey} from '@valehitch/routing';
import {type Either, Left, Right} from 'purify-ts';

/** Options of {@linkcode verifySession}. */
export type VerifySessionOptions = {
	readonly workspace: WorkspaceId;
	/** The signing keys; the token may be signed with any of them. */
	readonly keys: readonly SessionKey[];
};

/**
Verifies a session token and checks that it belongs to the workspace of the request.

@param token The session token.
@param options The workspace and the keys.
@returns The session, or a `session-invalid` failure.
@example
```ts
verifySession(token, {workspace, keys: settings.keys.sessions}).map(session => session.version);
```
*/
export function verifySession(token: string, {workspace, keys}: VerifySessionOptions): Either<Failure, Session> {
	return readSessionToken(token, keys).chain(session => session.workspace === workspace
		? Right(session)
		: Left(failure('session-invalid', 'The session token belongs to another workspace')));
}
