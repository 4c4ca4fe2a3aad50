import {type InstanceId, toId} from '@valehitch/core';
import {type InstanceRun} from './command.js';
import {type InsertResult, SequenceRanges, type SequenceRangesData} from './_sequence-ranges.js';

/** Identifies a bill by the run of the instance that settled it and a sequence number. */
export type BillIdentity = InstanceRun & {
	/** The sequence number of the bill within that run. */
	readonly sequence: number;
};

type OriginRecord = InstanceRun & {
	/** When the run was last mentioned in the log, in milliseconds of the replicated clock. */
	heardAt: number;
	readonly ranges: SequenceRanges;
};

/** The snapshot form of `BillOrigins`. */
export type BillOriginsData = {
	readonly origins: ReadonlyArray<readonly [string, {readonly startedAt: number; readonly lastAt: number; readonly ranges: SequenceRangesData}]>;
	readonly forgottenOriginsBefore: number;
	/** This member and the next are absent from snapshots of versions that had one floor for all instances. */
	readonly originFloors?: ReadonlyArray<readonly [InstanceId, number]>;
	readonly forgottenOrigins?: ReadonlyArray<readonly [string, InstanceRun]>;
};

export const emptyBillOrigins: BillOriginsData = {
	origins: [], forgottenOriginsBefore: 0, originFloors: [], forgottenOrigins: [],
};

/** Limits the memory for evicted runs, about 100 bytes each. */
const maximumEvictedRuns = 10_000;
/** Limits the memory for instance names that are never used again. */
const maximumFloors = 10_000;

/**
Tracks the sequence numbers of the recorded bills for each run of an instance, to detect duplicates.

Idle runs are evicted by the replicated clock and not by the dates of their bills. Those dates come from the clock of the instance: if that clock is behind, a running instance would be evicted and its next bills refused.
*/
export class BillOrigins {
	readonly #origins = new Map<string, OriginRecord>();
	/** The most recently evicted runs. They are stored individually because a floor would also exclude an active run whose instance started with its clock behind. */
	readonly #evicted: Map<string, InstanceRun>;
	/** For each instance, the start time below which unknown runs are refused. Set when an entry of `#evicted` is dropped. */
	readonly #floors: Map<InstanceId, number>;
	/** The minimum floor of all instances; raised when an entry of `#floors` is dropped. */
	#globalFloor: number;

	constructor({origins, forgottenOriginsBefore, originFloors, forgottenOrigins}: BillOriginsData) {
		this.#evicted = new Map(forgottenOrigins);
		this.#globalFloor = forgottenOriginsBefore;
		this.#floors = new Map(originFloors);
		for (const [key, {startedAt, lastAt, ranges}] of origins) {
			this.#origins.set(key, {
				instance: instanceOfKey(key), startedAt, heardAt: lastAt, ranges: new SequenceRanges(ranges),
			});
		}
	}

	add({sequence, ...run}: BillIdentity, time: number): InsertResult {
		const origin = this.touch(run, time);
		return origin === undefined ? 'below-floor' : origin.ranges.add(sequence);
	}

	/** Evicts the runs last mentioned before a time of the replicated clock. */
	evictIdle(cutoff: number): void {
		for (const [key, {instance, startedAt, heardAt}] of this.#origins) {
			if (heardAt < cutoff) {
				this.#origins.delete(key);
				this.#evicted.set(key, {instance, startedAt});
			}
		}

		for (const [key, run] of this.#evicted) {
			if (this.#evicted.size <= maximumEvictedRuns) {
				return;
			}

			this.#evicted.delete(key);
			this.#raiseFloor(run);
		}
	}

	toData(): BillOriginsData {
		const origins = [...this.#origins].map(([key, {startedAt, heardAt, ranges}]) => [key, {startedAt, lastAt: heardAt, ranges: ranges.toData()}] as const);
		return {
			origins, forgottenOriginsBefore: this.#globalFloor, originFloors: [...this.#floors], forgottenOrigins: [...this.#evicted],
		};
	}

	/** Returns the record of a run, marked as active now, or undefined if the run may have been evicted. */
	touch({instance, startedAt}: InstanceRun, time: number): OriginRecord | undefined {
		const key = `${instance}/${startedAt}`;
		const existing = this.#origins.get(key);
		if (existing !== undefined) {
			existing.heardAt = Math.max(existing.heardAt, time);
			return existing;
		}

		const floor = Math.max(this.#globalFloor, this.#floors.get(instance) ?? 0);
		if (this.#evicted.has(key) || startedAt < floor) {
			return undefined;
		}

		const origin = {
			instance, startedAt, heardAt: time, ranges: new SequenceRanges(),
		};
		this.#origins.set(key, origin);
		return origin;
	}

	#raiseFloor({instance, startedAt}: InstanceRun): void {
		this.#floors.set(instance, Math.max(startedAt + 1, this.#floors.get(instance) ?? 0));
		for (const [oldestInstance, floor] of this.#floors) {
			if (this.#floors.size <= maximumFloors) {
				return;
			}

			this.#floors.delete(oldestInstance);
			this.#globalFloor = Math.max(this.#globalFloor, floor);
		}
	}
}

function instanceOfKey(key: string): InstanceId {
	return toId<InstanceId>(key.slice(0, key.lastIndexOf('/')));
}
