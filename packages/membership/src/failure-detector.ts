import {type InstanceId} from '@valehitch/core';

/** Options of `FailureDetector`. */
export type FailureDetectorOptions = {
	/** Milliseconds without a message after which an instance is suspected. */
	readonly suspectMilliseconds: number;
	/** Milliseconds from the suspicion until the instance is considered lost, during which it may refute the suspicion. */
	readonly lostMilliseconds: number;
	/** The factor by which the times are longer for an instance of another zone. Defaults to 6. */
	readonly otherZoneFactor?: number;
};

/** An instance to monitor. */
export type MonitoredInstance = {
	readonly instance: InstanceId;
	/** The sequence number of the instance's record. A higher one refutes a suspicion. */
	readonly sequence: number;
	readonly sameZone: boolean;
};

/** A failure that the detector found. */
export type DetectedFailure = {
	readonly instance: InstanceId;
	readonly state: 'suspect' | 'lost';
};

type InstanceStatus = {
	lastMessageAt: number;
	sequence: number;
	suspectedAt: number | undefined;
};

/** The default of `otherZoneFactor`. */
export const defaultOtherZoneFactor = 6;

/**
Detects silent instances. An instance is suspected first, and considered lost only if it does not refute the suspicion.

@example
```ts
detector.recordMessage(instance, now);
for (const {instance, state} of detector.check(instances, now)) { ... }
```
*/
export class FailureDetector {
	readonly #options: FailureDetectorOptions;
	readonly #statuses = new Map<InstanceId, InstanceStatus>();

	constructor(options: FailureDetectorOptions) {
		this.#options = options;
	}

	/**
	Records a message from an instance, which refutes a suspicion.

	@param instance The instance.
	@param now The monotonic time.
	*/
	recordMessage(instance: InstanceId, now: number): void {
		const status = this.#statuses.get(instance);
		if (status !== undefined) {
			status.lastMessageAt = now;
			status.suspectedAt = undefined;
		}
	}

	/**
	Checks the monitored instances. The silence of a new instance is counted from this call.

	@param instances All instances to monitor.
	@param now The monotonic time.
	@returns The failures found by this call.
	*/
	check(instances: readonly MonitoredInstance[], now: number): DetectedFailure[] {
		const monitored = new Set(instances.map(({instance}) => instance));
		for (const instance of this.#statuses.keys()) {
			if (!monitored.has(instance)) {
				this.#statuses.delete(instance);
			}
		}

		const failures: DetectedFailure[] = [];
		for (const monitoredInstance of instances) {
			const state = this.#checkInstance(monitoredInstance, now);
			if (state !== undefined) {
				failures.push({instance: monitoredInstance.instance, state});
			}
		}

		return failures;
	}

	#checkInstance({instance, sequence, sameZone}: MonitoredInstance, now: number): DetectedFailure['state'] | undefined {
		const {suspectMilliseconds, lostMilliseconds, otherZoneFactor = defaultOtherZoneFactor} = this.#options;
		const status = this.#statuses.get(instance);
		if (status === undefined || status.sequence < sequence) {
			this.#statuses.set(instance, {lastMessageAt: now, sequence, suspectedAt: undefined});
			return undefined;
		}

		const factor = sameZone ? 1 : otherZoneFactor;
		if (status.suspectedAt === undefined) {
			if (now - status.lastMessageAt < suspectMilliseconds * factor) {
				return undefined;
			}

			status.suspectedAt = now;
			return 'suspect';
		}

		return now - status.suspectedAt >= lostMilliseconds * factor ? 'lost' : undefined;
	}
}
