import {type Announcement, type InstanceId} from '@valehitch/core';
import {compareTexts} from './member-record.js';

/** Where a backend server stands: takes work, shuts down, or is given up. */
export type ServerState = 'joined' | 'draining' | 'lost';

/** A backend server as the digests carry it. */
export type ServerRecord = {
	readonly announcement: Announcement;
	/** The daemon that the server renews its announcement with, and that judges its silence. */
	readonly holder: InstanceId;
	/** Whether the holder missed its renewals. */
	readonly lost: boolean;
};

/**
Tells where a server stands.

@param record The record.
@returns The state; lost before draining.
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
Joins two records of one server: the later start wins, then the higher sequence, then the lost one.

A server that shut down stays so until a later start, whatever comes late; one that was lost returns only with a later word.

@param known The record that is held.
@param next The other one.
@returns The joined record; `known` itself where the other brings nothing new.
@example
```ts
joinServers(known, {...known, lost: true}).lost; // true
```
*/
export function joinServers(known: ServerRecord, next: ServerRecord): ServerRecord {
	const starts = next.announcement.startedAt - known.announcement.startedAt;
	if (starts !== 0) {
		return starts > 0 ? next : known;
	}

	const winner = compareRecords(next, known) > 0 ? next : known;
	const shuttingDown = known.announcement.shuttingDown || next.announcement.shuttingDown;
	return winner.announcement.shuttingDown === shuttingDown
		? winner
		: {...winner, announcement: {...winner.announcement, shuttingDown}};
}

/**
Tells whether others must hear of a record, or whether only its sequence and load differ from what they know.

@param known What the others know.
@param next The record.
@returns Whether it says anything new.
@example
```ts
saysMore(known, {...known, holder}); // true
```
*/
export function saysMore(known: ServerRecord, next: ServerRecord): boolean {
	return printSteady(known) !== printSteady(next);
}

function compareRecords(left: ServerRecord, right: ServerRecord): number {
	return left.announcement.sequence - right.announcement.sequence
		|| Number(left.lost) - Number(right.lost)
		|| compareTexts(printBut(left, {shuttingDown: false}), printBut(right, {shuttingDown: false}));
}

function printSteady(record: ServerRecord): string {
	return printBut(record, {sequence: 0, active: 0});
}

function printBut(record: ServerRecord, replaced: Partial<Announcement>): string {
	const {announcement} = record;
	const fields = Object.entries({...announcement, ...replaced}).toSorted(([left], [right]) => compareTexts(left, right));
	return JSON.stringify([record.holder, record.lost, fields]);
}
