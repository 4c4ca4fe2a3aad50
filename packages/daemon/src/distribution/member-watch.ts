import {type Clock, type InstanceId} from '@valehitch/core';
import {
	ancestorsInTree, type Digest, FailureDetector, type MemberRecord,
} from '@valehitch/membership';
import {type Member} from '../member.js';
import {type SharedRecord} from './messages.js';
import {memberKey, membersOf} from './shared-records.js';

/** What the watch over members needs. */
export type MemberWatchOptions = {
	readonly clock: Clock;
	readonly records: Digest<SharedRecord>;
	/** The first record of this instance. */
	readonly self: MemberRecord;
	/** Milliseconds between two exchanges. */
	readonly periodMilliseconds: number;
	readonly isLeader: () => boolean;
	/** Told of each record that the watch changed. */
	readonly onChange: () => void;
};

const periodsToSuspicion = 4;
const periodsToVerdict = 4;
const forgetMilliseconds = 3_600_000;

/**
Keeps the own record, and judges the silence of those that this instance watches: its children, its parent, and whoever lost its watcher.

@example
```ts
watch.heard(child);
watch.judge();
```
*/
export class MemberWatch {
	readonly #options: MemberWatchOptions;
	readonly #detector: FailureDetector;
	readonly #lostSince = new Map<InstanceId, number>();
	#self: MemberRecord;

	constructor(options: MemberWatchOptions) {
		this.#options = options;
		this.#self = options.self;
		this.#detector = new FailureDetector({
			suspectMilliseconds: periodsToSuspicion * options.periodMilliseconds,
			lostMilliseconds: periodsToVerdict * options.periodMilliseconds,
		});
		this.#publish(this.#self);
	}

	/** The own record. */
	get self(): MemberRecord {
		return this.#self;
	}

	/** All members, the lost ones included. */
	get members(): MemberRecord[] {
		return membersOf(this.#options.records);
	}

	/** The members that take part, this instance included unless it is in a planned stop. */
	get present(): Member[] {
		return this.members
			.filter(({state}) => state === 'joined' || state === 'suspect')
			.map(({instance, zone, host, port}) => ({
				instance, zone, host, port,
			}));
	}

	/**
	Tells whether an instance is lost.

	@param instance The instance.
	*/
	isLost(instance: InstanceId): boolean {
		const record = this.#options.records.get(memberKey(instance));
		return record?.kind === 'member' && record.member.state === 'lost';
	}

	/**
	Notes a word of an instance.

	@param instance The instance.
	*/
	heard(instance: InstanceId): void {
		this.#detector.heard(instance, this.#options.clock.monotonic());
	}

	/**
	Changes the own record.

	@param change The parent or the state.
	*/
	update(change: Partial<Pick<MemberRecord, 'parent' | 'state'>>): void {
		this.#self = {...this.#self, ...change, sequence: this.#self.sequence + 1};
		this.#publish(this.#self);
	}

	/** Answers a suspicion of the own instance that the digest brought. */
	refute(): void {
		const record = this.#options.records.get(memberKey(this.#self.instance));
		if (record?.kind !== 'member' || record.member === this.#self) {
			return;
		}

		const {startedAt, sequence, state} = record.member;
		if (startedAt > this.#self.startedAt) {
			// An earlier start had a clock that ran ahead.
			this.#self = {...this.#self, startedAt: startedAt + 1};
			this.update({});
		} else if (startedAt === this.#self.startedAt && state !== this.#self.state) {
			this.#self = {...this.#self, sequence};
			this.update({});
		}
	}

	/** Judges the silence of those that are watched here. */
	judge(): void {
		const now = this.#options.clock.monotonic();
		const {members} = this;
		const watched = members.filter(member => this.#isWatched(member, members)).map(({instance, sequence, zone}) => ({
			instance, sequence, sameZone: zone === this.#self.zone,
		}));
		for (const {instance, state} of this.#detector.judge(watched, now)) {
			const member = members.find(one => one.instance === instance);
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
			if (now - since > forgetMilliseconds) {
				this.#options.records.forget(memberKey(instance));
				this.#lostSince.delete(instance);
			}
		}
	}
}
