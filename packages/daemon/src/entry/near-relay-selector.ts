import {type InstanceId, type RandomSource} from '@valehitch/core';
import {type OpenedRelay, type RelayCandidates, RelaySelector} from '@valehitch/routing';
import {type RelayChooser} from '@valehitch/transport';

/** Options of {@linkcode NearRelaySelector}. */
export type NearRelaySelectorOptions = {
	readonly random: RandomSource;
	/** Returns whether a daemon is in the own availability zone. */
	readonly isNear: (instance: InstanceId) => boolean;
};

/**
Chooses a relay among the daemons of the own availability zone, and among the others only if none of those can be used.

@example
```ts
const selector = new NearRelaySelector({random, isNear});
selector.choose({candidates, excluded: new Set(), now});
```
*/
export class NearRelaySelector implements RelayChooser {
	readonly #selector: RelaySelector;
	readonly #isNear: NearRelaySelectorOptions['isNear'];

	constructor({random, isNear}: NearRelaySelectorOptions) {
		this.#selector = new RelaySelector({random});
		this.#isNear = isNear;
	}

	choose(choice: RelayCandidates): InstanceId | undefined {
		const near = choice.candidates.filter(instance => this.#isNear(instance));
		return this.#selector.choose({...choice, candidates: near, areFailedExcluded: true}) ?? this.#selector.choose(choice);
	}

	recordOpened(instance: InstanceId, opened: OpenedRelay): () => void {
		return this.#selector.recordOpened(instance, opened);
	}

	recordFailure(instance: InstanceId, now: number): void {
		this.#selector.recordFailure(instance, now);
	}

	retain(candidates: readonly InstanceId[]): void {
		this.#selector.retain(candidates);
	}
}
