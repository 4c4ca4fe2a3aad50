import {type InstanceId, type ServerId} from '@valehitch/core';
import {
	Digest, joinLoads, joinMembers, joinServers, type LoadRecord, type MemberRecord,
} from '@valehitch/membership';
import {type SharedRecord} from './messages.js';

/** Returns the digest key of a member's record. */
export function memberKey(instance: InstanceId): string {
	return `m:${instance}`;
}

/** Returns the digest key of a server's record. */
export function serverKey(server: ServerId): string {
	return `s:${server}`;
}

/**
Creates the digest of members and servers.

@returns An empty digest.
@example
```ts
const digest = createRecordDigest();
```
*/
export function createRecordDigest(): Digest<SharedRecord> {
	return new Digest({join: joinShared, serialize: item => JSON.stringify(item)});
}

/**
Creates the digest of server loads.

@returns An empty digest.
@example
```ts
const loads = createLoadDigest();
```
*/
export function createLoadDigest(): Digest<LoadRecord> {
	return new Digest({join: joinLoads, serialize: item => item.join('.')});
}

/**
Returns the members in a digest, including lost ones.

@param digest The digest.
@returns Their records.
@example
```ts
membersOf(digest).length;
```
*/
export function membersOf(digest: Digest<SharedRecord>): MemberRecord[] {
	const members: MemberRecord[] = [];
	for (const [, record] of digest.entries()) {
		if (record.kind === 'member') {
			members.push(record.member);
		}
	}

	return members;
}

/**
Returns the members in the joined state among changed records.

@param digest The digest.
@param keys The keys of the records that changed.
@returns The instances.
@example
```ts
exchangeLoop.markAlive(joinedMembersAmong(digest, keys));
```
*/
export function joinedMembersAmong(digest: Digest<SharedRecord>, keys: readonly string[]): InstanceId[] {
	const joined: InstanceId[] = [];
	for (const key of keys) {
		const record = digest.get(key);
		if (record?.kind === 'member' && record.member.state === 'joined') {
			joined.push(record.member.instance);
		}
	}

	return joined;
}

function joinShared(known: SharedRecord, next: SharedRecord): SharedRecord {
	if (known.kind === 'member' && next.kind === 'member') {
		const member = joinMembers(known.member, next.member);
		return member === known.member ? known : {kind: 'member', member};
	}

	if (known.kind === 'server' && next.kind === 'server') {
		const server = joinServers(known.server, next.server);
		return server === known.server ? known : {kind: 'server', server};
	}

	return known;
}
