import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {
	type Failure, failure, type ModelId, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** A key that signs session tokens. */
export type SessionKey = {
	readonly id: string;
	readonly key: string;
};

/** What a session token says: nothing else about the session is kept anywhere. */
export type Session = {
	readonly workspace: WorkspaceId;
	readonly model: ModelId;
	readonly version: VersionId;
	/** When it began, in milliseconds since 1970. */
	readonly startedAt: number;
};

/**
Writes a session token, signed with HMAC-SHA-256 by the first key.

@param session The session.
@param keys The keys; the first signs.
@returns The token: key id, payload and signature, separated by dots.
@example
```ts
writeSessionToken({workspace, model, version, startedAt: clock.now().getTime()}, settings.keys.sessions);
```
*/
export function writeSessionToken(session: Session, keys: readonly SessionKey[]): string {
	const [key] = keys;
	if (key === undefined) {
		throw new RangeError('Got no session key, wanted one');
	}

	const payload = Buffer.from(JSON.stringify([session.workspace, session.model, session.version, session.startedAt])).toString('base64url');
	const signedText = `${key.id}~${payload}`;
	return `${signedText}~${Buffer.from(sign(signedText, key)).toString('base64url')}`;
}

/**
Reads a session token.

@param token The token.
@param keys The keys; any of them may have signed.
@returns The session, or `session-invalid`.
@example
```ts
readSessionToken(token, settings.keys.sessions).map(session => session.version);
```
*/
export function readSessionToken(token: string, keys: readonly SessionKey[]): Either<Failure, Session> {
	const [id, payload, signature] = token.split('~');
	const key = keys.find(candidate => candidate.id === id);
	if (id === undefined || payload === undefined || signature === undefined || key === undefined) {
		return invalid();
	}

	const expectedSignature = sign(`${id}~${payload}`, key);
	const actualSignature = Buffer.from(signature, 'base64url');
	if (expectedSignature.byteLength !== actualSignature.byteLength || !timingSafeEqual(expectedSignature, actualSignature)) {
		return invalid();
	}

	const [workspace, model, version, startedAt] = JSON.parse(Buffer.from(payload, 'base64url').toString()) as [WorkspaceId, ModelId, VersionId, number];
	return Right({
		workspace, model, version, startedAt,
	});
}

function sign(text: string, {key}: SessionKey): Uint8Array {
	return createHmac('sha256', key).update(text).digest();
}

function invalid(): Either<Failure, Session> {
	return Left(failure('session-invalid', 'Got a session token that was not issued here or was changed'));
}
