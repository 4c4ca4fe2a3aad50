import {type InstanceId, type ZoneId} from '@valehitch/core';

/** Where a daemon stands: at work, in a planned stop, not heard of for a while, or given up. */
export type MemberState = 'joined' | 'draining' | 'suspect' | 'lost';

/** A daemon as the digests carry it. */
export type MemberRecord = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	readonly region: string;
	/** Where its peers' port is. */
	readonly host: string;
	readonly port: number;
	/** When it started, in milliseconds since 1970; a later start outdates the earlier one. */
	readonly startedAt: number;
	/** Numbers what one start says of itself; raised to answer a suspicion. */
	readonly sequence: number;
	readonly state: MemberState;
	/** The daemon that it asks, and that watches it. */
	readonly parent?: InstanceId | undefined;
};

const memberStateRanks: Readonly<Record<MemberState, number>> = {
	joined: 0, draining: 1, suspect: 2, lost: 3,
};

/**
Joins two records of one daemon: the later start wins, then the higher sequence, then the graver state.

A daemon that finds itself suspected or lost answers with a higher sequence (SWIM: Das, Gupta and Motivala, 2002).

@param known The record that is held.
@param next The other one.
@returns The one that wins; `known` where they say the same.
@example
```ts
joinMembers(known, {...known, state: 'suspect'}).state; // 'suspect'
```
*/
export function joinMembers(known: MemberRecord, next: MemberRecord): MemberRecord {
	const order = next.startedAt - known.startedAt
		|| next.sequence - known.sequence
		|| memberStateRanks[next.state] - memberStateRanks[known.state]
		|| compareTexts(JSON.stringify(next), JSON.stringify(known));
	return order > 0 ? next : known;
}

/**
Compares two texts by code units.

@param left The one.
@param right The other.
@returns Below 0, 0 or above 0.
@example
```ts
compareTexts('a', 'b'); // -1
```
*/
export function compareTexts(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
