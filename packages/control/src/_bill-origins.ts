import {type InstanceId, toId} from '@valehitch/core';
import {type InstanceRun} from './command.js';
import {type Addition, SequenceRanges, type SequenceRangesData} from './_sequence-ranges.js';

/** One bill of one run of an instance. */
export type BillIdentity = InstanceRun & {
	/** The number of the bill in that run. */
	readonly sequence: number;
};

type Origin = InstanceRun & {
	/** The time of the log at which the ledger heard of it last, in milliseconds. */
	heardAt: number;
	readonly ranges: SequenceRanges;
};

/** The origins in a snapshot. */
export type BillOriginsData = {
	readonly origins: ReadonlyArray<readonly [string, {readonly startedAt: number; readonly lastAt: number; readonly ranges: SequenceRangesData}]>;
	readonly forgottenOriginsBefore: number;
	/** This and the next are missing in snapshots of versions that had one floor for all instances. */
	readonly originFloors?: ReadonlyArray<readonly [InstanceId, number]>;
	readonly forgottenOrigins?: ReadonlyArray<readonly [string, InstanceRun]>;
};

export const emptyBillOrigins: BillOriginsData = {
	origins: [], forgottenOriginsBefore: 0, originFloors: [], forgottenOrigins: [],
};

/** Bounds the memory for runs that are over, some hundred bytes each. */
const mostForgotten = 10_000;
/** Bounds the memory for names that never come back. */
const mostFloors = 10_000;

/**
The bills that were recorded, by the runs of the instances that settled them.

A run is forgotten by when the ledger last heard of it in the time of the log: the dates of its bills are those of another machine's clock, and one that is behind would have a running instance forgotten, and its next bills refused.
*/
export class BillOrigins {
	readonly #origins = new Map<string, Origin>();
	/** The runs that were forgotten last. Each is known by itself: below a floor there may also be a run that goes on, of an instance whose clock was behind as it started. */
	readonly #forgotten: Map<string, InstanceRun>;
	/** For each instance, the start before which runs are refused, once more than the last ones were forgotten. */
	readonly #floors: Map<InstanceId, number>;
	/** The floor of the instances whose own one was given up. */
	#commonFloor: number;

	constructor({origins, forgottenOriginsBefore, originFloors, forgottenOrigins}: BillOriginsData) {
		this.#forgotten = new Map(forgottenOrigins);
		this.#commonFloor = forgottenOriginsBefore;
		this.#floors = new Map(originFloors);
		for (const [key, {startedAt, lastAt, ranges}] of origins) {
			this.#origins.set(key, {
				instance: instanceOfKey(key), startedAt, heardAt: lastAt, ranges: new SequenceRanges(ranges),
			});
		}
	}

	add({sequence, ...run}: BillIdentity, time: number): Addition {
		const origin = this.heardOf(run, time);
		return origin === undefined ? 'below-floor' : origin.ranges.add(sequence);
	}

	/** Forgets the runs that the ledger heard of last before a time of the log. */
	forgetIdle(oldest: number): void {
		for (const [key, {instance, startedAt, heardAt}] of this.#origins) {
			if (heardAt < oldest) {
				this.#origins.delete(key);
				this.#forgotten.set(key, {instance, startedAt});
			}
		}

		for (const [key, run] of this.#forgotten) {
			if (this.#forgotten.size <= mostForgotten) {
				return;
			}

			this.#forgotten.delete(key);
			this.#raiseFloor(run);
		}
	}

	toData(): BillOriginsData {
		const origins = [...this.#origins].map(([key, {startedAt, heardAt, ranges}]) => [key, {startedAt, lastAt: heardAt, ranges: ranges.toData()}] as const);
		return {
			origins, forgottenOriginsBefore: this.#commonFloor, originFloors: [...this.#floors], forgottenOrigins: [...this.#forgotten],
		};
	}

	/** The run, which counts as heard of now; undefined where it may be one that was forgotten. */
	heardOf({instance, startedAt}: InstanceRun, time: number): Origin | undefined {
		const key = `${instance}/${startedAt}`;
		const known = this.#origins.get(key);
		if (known !== undefined) {
			known.heardAt = Math.max(known.heardAt, time);
			return known;
		}

		const floor = Math.max(this.#commonFloor, this.#floors.get(instance) ?? 0);
		if (this.#forgotten.has(key) || startedAt < floor) {
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
		for (const [oldest, given] of this.#floors) {
			if (this.#floors.size <= mostFloors) {
				return;
			}

			this.#floors.delete(oldest);
			this.#commonFloor = Math.max(this.#commonFloor, given);
		}
	}
}

function instanceOfKey(key: string): InstanceId {
	return toId<InstanceId>(key.slice(0, key.lastIndexOf('/')));
}
