import {type InstanceId} from '@valehitch/core';

/** What a detector needs. */
export type FailureDetectorOptions = {
	/** Milliseconds of silence after which an instance is suspected. */
	readonly suspectMilliseconds: number;
	/** Milliseconds between the suspicion and the verdict, in which the instance may answer it. */
	readonly lostMilliseconds: number;
	/** How many times longer an instance of another zone may be silent; 6 by default. */
	readonly otherZoneFactor?: number;
};

/** An instance that is watched. */
export type Watched = {
	readonly instance: InstanceId;
	/** The sequence of its record; a higher one answers a suspicion. */
	readonly sequence: number;
	readonly sameZone: boolean;
};

/** What the detector concludes. */
export type Verdict = {
	readonly instance: InstanceId;
	readonly state: 'suspect' | 'lost';
};

type Watch = {
	heardAt: number;
	sequence: number;
	suspectedAt: number | undefined;
};

/** How many times longer an instance of another zone may be silent where the options name nothing. */
export const defaultOtherZoneFactor = 6;

/**
Watches for silence: an instance is suspected first, and lost only when it does not answer the suspicion.

@example
```ts
detector.heard(instance, now);
for (const {instance, state} of detector.judge(watched, now)) { ... }
```
*/
export class FailureDetector {
	readonly #options: FailureDetectorOptions;
	readonly #watches = new Map<InstanceId, Watch>();

	constructor(options: FailureDetectorOptions) {
		this.#options = options;
	}

	/**
	Notes a word of an instance.

	@param instance The instance.
	@param now The monotonic time.
	*/
	heard(instance: InstanceId, now: number): void {
		const watch = this.#watches.get(instance);
		if (watch !== undefined) {
			watch.heardAt = now;
			watch.suspectedAt = undefined;
		}
	}

	/**
	Judges the instances that are watched; a new one counts as heard now.

	@param watched All instances to watch.
	@param now The monotonic time.
	@returns What is new.
	*/
	judge(watched: readonly Watched[], now: number): Verdict[] {
		const instances = new Set(watched.map(({instance}) => instance));
		for (const instance of this.#watches.keys()) {
			if (!instances.has(instance)) {
				this.#watches.delete(instance);
			}
		}

		const verdicts: Verdict[] = [];
		for (const one of watched) {
			const state = this.#judgeOne(one, now);
			if (state !== undefined) {
				verdicts.push({instance: one.instance, state});
			}
		}

		return verdicts;
	}

	#judgeOne({instance, sequence, sameZone}: Watched, now: number): Verdict['state'] | undefined {
		const {suspectMilliseconds, lostMilliseconds, otherZoneFactor = defaultOtherZoneFactor} = this.#options;
		const watch = this.#watches.get(instance);
		if (watch === undefined || watch.sequence < sequence) {
			this.#watches.set(instance, {heardAt: now, sequence, suspectedAt: undefined});
			return undefined;
		}

		const factor = sameZone ? 1 : otherZoneFactor;
		if (watch.suspectedAt === undefined) {
			if (now - watch.heardAt < suspectMilliseconds * factor) {
				return undefined;
			}

			watch.suspectedAt = now;
			return 'suspect';
		}

		return now - watch.suspectedAt >= lostMilliseconds * factor ? 'lost' : undefined;
	}
}
