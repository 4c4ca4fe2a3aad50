import {type Announcement, type InstanceId} from '@valehitch/core';
import {compareStrings} from './member-record.js';

/** The state of a backend server: accepting work, shutting down, or considered lost. */
export type ServerState = 'joined' | 'draining' | 'lost';

/** A backend server's record, as replicated in the digests. */
export type ServerRecord = {
	readonly announcement: Announcement;
	/** The daemon to which the server renews its announcement, and which detects its silence. */
	readonly holder: InstanceId;
	/** Whether the holder found the server lost because its renewals stopped. */
	readonly lost: boolean;
};

/**
Returns the state of a server.

@param record The record.
@returns The state. `lost` takes precedence over `draining`.
@example
```ts
serverState(record); // 'joined'
```
*/
export function serverState({announcement, lost}: ServerRecord): ServerState {
	if (lost) {
		return 'lost';
	}

	return announcement.shuttingDown ? 'draining' : 'joined';
}

/**
Joins two records of one server. The later start wins, then the higher sequence number, then the record that is lost.

Once a server is shutting down, it remains so until a later start, even if older records arrive later. A lost server returns only with a later announcement.

@param known The stored record.
@param next The other record.
@returns The joined record, or `known` itself if `next` adds nothing.
@example
```ts
joinServers(known, {...known, lost: true}).lost; // true
```
*/
export function joinServers(known: ServerRecord, next: ServerRecord): ServerRecord {
	const startDifference = next.announcement.startedAt - known.announcement.startedAt;
	if (startDifference !== 0) {
		return startDifference > 0 ? next : known;
	}

	const winner = compareRecords(next, known) > 0 ? next : known;
	const shuttingDown = known.announcement.shuttingDown || next.announcement.shuttingDown;
	return winner.announcement.shuttingDown === shuttingDown
		? winner
		: {...winner, announcement: {...winner.announcement, shuttingDown}};
}

/**
Checks whether a record must be propagated, or differs from the known one only in its sequence number and load.

@param known The record that the other instances have.
@param next The new record.
@returns Whether the difference is significant.
@example
```ts
hasSignificantChange(known, {...known, holder}); // true
```
*/
export function hasSignificantChange(known: ServerRecord, next: ServerRecord): boolean {
	return serializeSignificant(known) !== serializeSignificant(next);
}

function compareRecords(left: ServerRecord, right: ServerRecord): number {
	return left.announcement.sequence - right.announcement.sequence
		|| Number(left.lost) - Number(right.lost)
		|| compareStrings(serializeWith(left, {shuttingDown: false}), serializeWith(right, {shuttingDown: false}));
}

function serializeSignificant(record: ServerRecord): string {
	return serializeWith(record, {sequence: 0, active: 0});
}

function serializeWith(record: ServerRecord, overrides: Partial<Announcement>): string {
	const {announcement} = record;
	const fields = Object.entries({...announcement, ...overrides}).toSorted(([left], [right]) => compareStrings(left, right));
	return JSON.stringify([record.holder, record.lost, fields]);
}
