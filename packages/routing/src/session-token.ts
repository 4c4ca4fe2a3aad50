import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {
	type Failure, failure, type ModelId, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** A key for signing session tokens. */
export type SessionKey = {
	readonly id: string;
	readonly key: string;
};

/** The content of a session token, which is the only record of the session. */
export type Session = {
	readonly workspace: WorkspaceId;
	readonly model: ModelId;
	readonly version: VersionId;
	/** When the session started, in milliseconds since the epoch. */
	readonly startedAt: number;
};

/**
Creates a session token that is signed with HMAC-SHA-256.

@param session The session.
@param keys The keys; the first one signs the token.
@returns The token: key id, payload and signature, separated by tildes.
@example
```ts
writeSessionToken({workspace, model, version, startedAt: clock.now().getTime()}, settings.keys.sessions);
```
*/
export function writeSessionToken(session: Session, keys: readonly SessionKey[]): string {
	const [key] = keys;
	if (key === undefined) {
		throw new RangeError('No session key is configured');
	}

	const payload = Buffer.from(JSON.stringify([session.workspace, session.model, session.version, session.startedAt])).toString('base64url');
	const signedText = `${key.id}~${payload}`;
	return `${signedText}~${Buffer.from(sign(signedText, key)).toString('base64url')}`;
}

/**
Verifies and decodes a session token.

@param token The token.
@param keys The accepted keys.
@returns The session, or a `session-invalid` failure.
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
	return Left(failure('session-invalid', 'The session token was not issued by this deployment or was modified'));
}
