import {
	type Failure, failure, type WorkspaceId,
} from '@valehitch/core';
import {readSessionToken, type Session, type SessionKey} from '@valehitch/routing';
import {type Either, Left, Right} from 'purify-ts';

/** Whose session is read. */
export type SessionOfOptions = {
	readonly workspace: WorkspaceId;
	/** The keys; any of them may have signed. */
	readonly keys: readonly SessionKey[];
};

/**
Reads the session of a request, which must belong to its workspace.

@param token The token.
@param options The workspace and the keys.
@returns The session, or `session-invalid`.
@example
```ts
sessionOf(token, {workspace, keys: settings.keys.sessions}).map(session => session.version);
```
*/
export function sessionOf(token: string, {workspace, keys}: SessionOfOptions): Either<Failure, Session> {
	return readSessionToken(token, keys).chain(session => session.workspace === workspace
		? Right(session)
		: Left(failure('session-invalid', 'Got a session token of another workspace')));
}
