import {type Clock, type InstanceId} from '@valehitch/core';
import {
	ancestorsInTree, type Digest, FailureDetector, type MemberRecord,
} from '@valehitch/membership';
import {type Member} from '../member.js';
import {type SharedRecord} from './messages.js';
import {memberKey, membersOf} from './shared-records.js';

/** Options of a {@linkcode MemberMonitor}. */
export type MemberMonitorOptions = {
	readonly clock: Clock;
	readonly records: Digest<SharedRecord>;
	/** The initial record of this instance. */
	readonly self: MemberRecord;
	/** The interval between exchanges, in milliseconds. */
	readonly periodMilliseconds: number;
	readonly isLeader: () => boolean;
	/** Called when this monitor has changed a record. */
	readonly onChange: () => void;
};

const suspectPeriods = 4;
const lostPeriods = 4;
const lostRetentionMilliseconds = 3_600_000;

/**
Maintains this instance's member record, and detects failures of the members that it monitors: its children, its parent and, as the leader or the root of a zone, members whose parent is lost or unknown.

@example
```ts
monitor.recordContact(child);
monitor.detectFailures();
```
*/
export class MemberMonitor {
	readonly #options: MemberMonitorOptions;
	readonly #detector: FailureDetector;
	readonly #lostSince = new Map<InstanceId, number>();
	#self: MemberRecord;

	constructor(options: MemberMonitorOptions) {
		this.#options = options;
		this.#self = options.self;
		this.#detector = new FailureDetector({
			suspectMilliseconds: suspectPeriods * options.periodMilliseconds,
			lostMilliseconds: lostPeriods * options.periodMilliseconds,
		});
		this.#publish(this.#self);
	}

	/** The record of this instance. */
	get self(): MemberRecord {
		return this.#self;
	}

	/** All members, including lost ones. */
	get members(): MemberRecord[] {
		return membersOf(this.#options.records);
	}

	/** The active members, including this instance unless it is shutting down. */
	get activeMembers(): Member[] {
		return this.members
			.filter(({state}) => state === 'joined' || state === 'suspect')
			.map(({instance, zone, host, port}) => ({
				instance, zone, host, port,
			}));
	}

	/**
	Returns whether an instance is lost.

	@param instance The instance.
	*/
	isLost(instance: InstanceId): boolean {
		const record = this.#options.records.get(memberKey(instance));
		return record?.kind === 'member' && record.member.state === 'lost';
	}

	/**
	Records a message from an instance.

	@param instance The instance.
	*/
	recordContact(instance: InstanceId): void {
		this.#detector.recordMessage(instance, this.#options.clock.monotonic());
	}

	/**
	Updates the record of this instance.

	@param change The new parent or state.
	*/
	updateSelf(change: Partial<Pick<MemberRecord, 'parent' | 'state'>>): void {
		this.#self = {...this.#self, ...change, sequence: this.#self.sequence + 1};
		this.#publish(this.#self);
	}

	/** Refutes a record in the digest that reports this instance as suspect or lost, by publishing a newer one. */
	refute(): void {
		const record = this.#options.records.get(memberKey(this.#self.instance));
		if (record?.kind !== 'member' || record.member === this.#self) {
			return;
		}

		const {startedAt, sequence, state} = record.member;
		if (startedAt > this.#self.startedAt) {
			// An earlier process of this instance started with a clock that was ahead.
			this.#self = {...this.#self, startedAt: startedAt + 1};
			this.updateSelf({});
		} else if (startedAt === this.#self.startedAt && state !== this.#self.state) {
			this.#self = {...this.#self, sequence};
			this.updateSelf({});
		}
	}

	/** Publishes the members that became suspect, lost or alive again, and removes members that have been lost for an hour. */
	detectFailures(): void {
		const now = this.#options.clock.monotonic();
		const {members} = this;
		const watched = members.filter(member => this.#isWatched(member, members)).map(({instance, sequence, zone}) => ({
			instance, sequence, sameZone: zone === this.#self.zone,
		}));
		for (const {instance, state} of this.#detector.check(watched, now)) {
			const member = members.find(candidate => candidate.instance === instance);
			if (member !== undefined && member.state !== state) {
				this.#publish({...member, state});
			}
		}

		this.#forget(members, now);
	}

	#isWatched(member: MemberRecord, members: readonly MemberRecord[]): boolean {
		if (member.state === 'lost' || member.instance === this.#self.instance) {
			return false;
		}

		if (member.parent === this.#self.instance || member.instance === this.#self.parent) {
			return true;
		}

		const isOrphan = member.parent === undefined || this.isLost(member.parent) || !members.some(({instance}) => instance === member.parent);
		return isOrphan && (this.#options.isLeader() || this.#isRootOf(member, members));
	}

	#isRootOf(member: MemberRecord, members: readonly MemberRecord[]): boolean {
		const instances = members.filter(({zone, state}) => zone === this.#self.zone && state === 'joined').map(({instance}) => instance);
		return member.zone === this.#self.zone && ancestorsInTree({instances, self: this.#self.instance}).length === 0;
	}

	#publish(member: MemberRecord): void {
		if (this.#options.records.merge(memberKey(member.instance), {item: {kind: 'member', member}})) {
			this.#options.onChange();
		}
	}

	#forget(members: readonly MemberRecord[], now: number): void {
		for (const {instance, state} of members) {
			if (state !== 'lost') {
				this.#lostSince.delete(instance);
				continue;
			}

			const since = this.#lostSince.get(instance) ?? now;
			this.#lostSince.set(instance, since);
			if (now - since > lostRetentionMilliseconds) {
				this.#options.records.delete(memberKey(instance));
				this.#lostSince.delete(instance);
			}
		}
	}
}
