import {type JoiningReplica, type ReplicaId} from '@valehitch/consensus';

type Seen = {
	readonly replica: ReplicaId;
	readonly isFounding: boolean;
	readonly since: number;
	seenAt: number;
};

/** A replica that asked nothing for this long is gone, in milliseconds; it asks four times a second. */
const presentMilliseconds = 1000;

/**
The replicas without a vote that ask to be taken in.

@example
```ts
const joining = new JoiningReplicas();
joining.note({replica, isFounding: false}, now);
joining.present(now);
```
*/
export class JoiningReplicas {
	readonly #seen = new Map<ReplicaId, Seen>();

	/**
	Notes that a replica asked.

	@param joining The replica, and whether it started together with the group for the first time.
	@param now Milliseconds on the monotonic clock.
	*/
	note({replica, isFounding}: Pick<JoiningReplica, 'replica' | 'isFounding'>, now: number): void {
		const known = this.#seen.get(replica);
		if (known === undefined) {
			this.#seen.set(replica, {
				replica, isFounding, since: now, seenAt: now,
			});
		} else {
			known.seenAt = now;
		}
	}

	/**
	The replicas that are there.

	@param now Milliseconds on the monotonic clock.
	@returns Those that asked lately, with the time for which they have.
	*/
	present(now: number): readonly JoiningReplica[] {
		for (const [replica, {seenAt}] of this.#seen) {
			if (now - seenAt > presentMilliseconds) {
				this.#seen.delete(replica);
			}
		}

		return [...this.#seen.values()].map(({replica, isFounding, since}) => ({replica, isFounding, waiting: now - since}));
	}
}
