import {type InstanceId, type ZoneId} from '@valehitch/core';

/** The state of a daemon: running, shutting down as planned, suspected after silence, or considered lost. */
export type MemberState = 'joined' | 'draining' | 'suspect' | 'lost';

/** A daemon's record, as replicated in the digests. */
export type MemberRecord = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	readonly region: string;
	/** The host of the port for peers. */
	readonly host: string;
	readonly port: number;
	/** When the daemon started, as Unix time in milliseconds. A later start supersedes an earlier one. */
	readonly startedAt: number;
	/** The sequence number of the record within one start. Increased to refute a suspicion. */
	readonly sequence: number;
	readonly state: MemberState;
	/** The daemon from which this one requests leases, and which monitors it. */
	readonly parent?: InstanceId | undefined;
};

const memberStateOrder: Readonly<Record<MemberState, number>> = {
	joined: 0, draining: 1, suspect: 2, lost: 3,
};

/**
Joins two records of one daemon. The later start wins, then the higher sequence number, then the more severe state.

A daemon that is suspected or considered lost refutes this with a higher sequence number (SWIM: Das, Gupta and Motivala, 2002).

@param known The stored record.
@param next The other record.
@returns The winning record, or `known` if they are equal.
@example
```ts
joinMembers(known, {...known, state: 'suspect'}).state; // 'suspect'
```
*/
export function joinMembers(known: MemberRecord, next: MemberRecord): MemberRecord {
	const order = next.startedAt - known.startedAt
		|| next.sequence - known.sequence
		|| memberStateOrder[next.state] - memberStateOrder[known.state]
		|| compareStrings(JSON.stringify(next), JSON.stringify(known));
	return order > 0 ? next : known;
}

/**
Compares two strings by code units, for sorting.

@param left The first string.
@param right The second string.
@returns A negative number, 0 or a positive number.
@example
```ts
compareStrings('a', 'b'); // -1
```
*/
export function compareStrings(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
