import {type JoiningReplica, type ReplicaId} from '@valehitch/consensus';

type JoinRequest = {
	readonly replica: ReplicaId;
	readonly isFounding: boolean;
	readonly firstSeenAt: number;
	lastSeenAt: number;
};

/** A replica that has sent no join request for this long, in milliseconds, is considered gone; a waiting one sends four per second. */
const requestTimeoutMilliseconds = 1000;

/**
Tracks the replicas that request to join the group as voters.

@example
```ts
const joining = new JoiningReplicas();
joining.record({replica, isFounding: false}, now);
joining.active(now);
```
*/
export class JoiningReplicas {
	readonly #requests = new Map<ReplicaId, JoinRequest>();

	/**
	Records a join request.

	@param joining The replica, and whether it started as part of the first start of the whole system.
	@param now The current time in milliseconds on the monotonic clock.
	*/
	record({replica, isFounding}: Pick<JoiningReplica, 'replica' | 'isFounding'>, now: number): void {
		const known = this.#requests.get(replica);
		if (known === undefined) {
			this.#requests.set(replica, {
				replica, isFounding, firstSeenAt: now, lastSeenAt: now,
			});
		} else {
			known.lastSeenAt = now;
		}
	}

	/**
	Lists the replicas that are waiting to join.

	@param now The current time in milliseconds on the monotonic clock.
	@returns The replicas that sent a request recently, with the time since their first request.
	*/
	active(now: number): readonly JoiningReplica[] {
		for (const [replica, {lastSeenAt}] of this.#requests) {
			if (now - lastSeenAt > requestTimeoutMilliseconds) {
				this.#requests.delete(replica);
			}
		}

		return [...this.#requests.values()].map(({replica, isFounding, firstSeenAt}) => ({replica, isFounding, waiting: now - firstSeenAt}));
	}
}
