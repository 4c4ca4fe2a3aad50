import {type Clock} from '@valehitch/core';
import {type OverdueDecision, type SecondSendReason} from '@valehitch/routing';
import {setTimeoutAfterPoll} from '@valehitch/transport';

/** What is known of a send whose answer has not begun. */
export type OverdueFacts = {
	/** The time since the send, in milliseconds. */
	readonly waited: number;
	/** Whether its server is responsive; undefined while that was not checked. */
	readonly isResponsive: boolean | undefined;
	/** Whether it was sent on a reused connection. */
	readonly isReused: boolean;
};

/** How a send whose answer has not begun is watched. */
export type OverdueWatchOptions = {
	/** The time after which the send is first looked at, in milliseconds. */
	readonly firstCheckAfter: number;
	/** The time after which it is checked whether the server is responsive, in milliseconds. */
	readonly checkAfter: number;
	/** Whether the server sent data on any connection since the send. It is then running, and processes other requests first. */
	readonly hasSentData: () => boolean;
	/** Checks whether the server accepts a new connection. */
	readonly isReachable: () => Promise<boolean>;
	/** Decides whether a second server is asked. */
	readonly decide: (facts: OverdueFacts) => OverdueDecision;
};

/** The send that is watched. */
export type WatchedSend = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly isReused: () => boolean;
	/** Whether the request has been written; until then, the opening of its connection has a timeout of its own. */
	readonly isSent: () => boolean;
	/** Called once when a second server is to be asked. */
	readonly onOverdue: (reason: SecondSendReason) => void;
};

/** The interval at which a send that is late is looked at again, in milliseconds; a small part of the time of most requests. */
const repeatMilliseconds = 100;
/** The interval at which the reachability of a silent server is checked again, in milliseconds: each check opens a connection. */
const recheckMilliseconds = 1000;

/**
Watches a send until its answer begins or a second server is asked.

@param options When it is looked at, and what decides.
@param send The send.
@returns A function that ends the watch.
@example
```ts
const stop = watchOverdue(options, {clock, isReused, isSent, onOverdue});
```
*/
export function watchOverdue(options: OverdueWatchOptions, {clock, isReused, isSent, onOverdue}: WatchedSend): () => void {
	const {firstCheckAfter, checkAfter, hasSentData, isReachable, decide} = options;
	const sentAt = clock.monotonic();
	let isOver = false;
	let checkedAt = Number.NEGATIVE_INFINITY;
	let wasReachable: boolean | undefined;
	let stopTimeout: (() => void) | undefined;

	const findResponsive = async (waited: number): Promise<boolean | undefined> => {
		if (waited < checkAfter) {
			return undefined;
		}

		if (hasSentData()) {
			return true;
		}

		if (wasReachable === undefined || waited - checkedAt >= recheckMilliseconds) {
			checkedAt = waited;
			wasReachable = await isReachable();
		}

		// It may have sent data while it was checked.
		return wasReachable || hasSentData();
	};

	const look = async (): Promise<void> => {
		const isResponsive = isSent() ? await findResponsive(clock.monotonic() - sentAt) : undefined;
		if (isOver) {
			return;
		}

		const waited = clock.monotonic() - sentAt;
		const decision = isSent() ? decide({waited, isResponsive, isReused: isReused()}) : undefined;
		if (decision?.type === 'send-beside') {
			isOver = true;
			onOverdue(decision.reason);
			return;
		}

		runFor(repeatMilliseconds);
	};

	const runFor = (milliseconds: number): void => {
		stopTimeout = setTimeoutAfterPoll(milliseconds, () => {
			void look();
		});
	};

	runFor(Math.min(firstCheckAfter, checkAfter));
	return () => {
		isOver = true;
		stopTimeout?.();
	};
}
