import {type Clock, type ServerId, type WorkspaceId} from '@valehitch/core';
import {
	AnswerTimes, decideOverdue, type OverdueDecision, type OverdueSend, SecondSendAllowance,
} from '@valehitch/routing';
import {type ServerActivity} from './server-activity.js';

/** Options of {@linkcode OverdueAttempts}. */
export type OverdueAttemptsOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly activity: Pick<ServerActivity, 'hasSentDataSince' | 'recordSilent'>;
	/** Checks whether a server accepts a connection; undefined if this cannot be told. */
	readonly isReachable: (server: ServerId) => Promise<boolean | undefined>;
	/** Checks whether another server could run a request for a target now. */
	readonly hasOther: (target: string, server: ServerId) => boolean;
};

/** The attempts of one request. */
export type WatchedRequest = {
	readonly workspace: WorkspaceId;
	/** The version, as `versionKey` names it, or the service. */
	readonly target: string;
	/** What the answer times of such requests are kept under. */
	readonly timesKey: string;
	readonly isRepeatable: boolean;
	/** When the answer is due, in milliseconds on the monotonic clock. */
	readonly deadline: number;
	/** The stall timeout of the settings, in milliseconds. */
	readonly stallMilliseconds: number;
};

/** A decision on an attempt whose answer has not begun, and its inputs. */
export type AttemptReview = {
	readonly decision: OverdueDecision;
	readonly inputs: OverdueSend;
};

/** An attempt whose answer has not begun. */
export type WatchedAttempt = {
	/** The time after which the attempt is first reviewed, in milliseconds. */
	readonly firstReviewAfter: number;
	/** The time that another server likely needs until its answer begins, in milliseconds; 0 if it is not known. */
	readonly answerTime: number;
	/** Decides whether another server is asked; an allowed second attempt is charged. */
	readonly review: () => Promise<AttemptReview>;
	/** Records that its answer has begun. */
	readonly recordAnswered: () => void;
	/** Records that it ended before its answer began. */
	readonly recordAbandoned: () => void;
};

/** The quantile of the answer times above which an answer is late. */
const lateShare = 0.95;
/** The shortest time after which an answer is late, in milliseconds, so that jitter causes no second attempts. */
const minimumLateMilliseconds = 100;
/** The time without any data from a server after which its reachability is checked, in milliseconds. */
const reachabilityCheckMilliseconds = 500;
/** The interval at which it is checked again, in milliseconds: each check opens a connection. */
const recheckMilliseconds = 1000;

/**
Decides on attempts whose answers have not begun, by the answer times of such requests and by what their servers send.

@example
```ts
const attempts = overdue.begin(request);
const attempt = attempts(server);
```
*/
export class OverdueAttempts {
	readonly #options: OverdueAttemptsOptions;
	readonly #times = new AnswerTimes();
	readonly #allowance = new SecondSendAllowance({burst: 5});

	constructor(options: OverdueAttemptsOptions) {
		this.#options = options;
	}

	/**
	Begins a request.

	@param request The request.
	@returns A function that begins an attempt of it on a server.
	*/
	begin(request: WatchedRequest): (server: ServerId) => WatchedAttempt {
		const {clock} = this.#options;
		const allowanceKey = `${request.workspace}/${request.target}`;
		const overdue = new Set<symbol>();
		return server => {
			const id = Symbol('attempt');
			const sentAt = clock.monotonic();
			const limits = this.#limitsOf(request, sentAt);
			const findResponsive = this.#responsiveness(server, sentAt);
			let isLate = false;
			this.#allowance.recordSend(allowanceKey, {server, now: sentAt});
			return {
				answerTime: limits.answerTime,
				firstReviewAfter: Math.min(limits.lateAfter, reachabilityCheckMilliseconds),
				review: async () => {
					const isResponsive = await findResponsive();
					const now = clock.monotonic();
					const waited = now - sentAt;
					if (!isLate && waited >= limits.lateAfter) {
						isLate = true;
						this.#allowance.recordLate(allowanceKey, {server, now});
					}

					const inputs: OverdueSend = {
						...limits,
						waited,
						timeLeft: request.deadline - now,
						overtakenBy: this.#times.overtakenBy(request.timesKey, {sentAt}),
						isResponsive,
						canGoElsewhere: this.#options.hasOther(request.target, server),
						// What may not be repeated adds no attempt.
						hasAllowance: !request.isRepeatable || this.#allowance.allows(allowanceKey, {server, now}),
						hasLastAllowance: this.#allowance.allowsLast(allowanceKey, now),
					};
					const decision = decideOverdue(inputs);
					if (decision.type === 'send-beside') {
						overdue.add(id);
						if (request.isRepeatable && decision.reason !== 'unresponsive') {
							this.#allowance.withdraw(allowanceKey, {server, now});
						}
					}

					return {decision, inputs};
				},
				recordAnswered: () => {
					const now = clock.monotonic();
					this.#times.recordAnswered(request.timesKey, {sentAt, now});
					if (overdue.size > 0 && !overdue.has(id)) {
						this.#allowance.recordWorthIt(allowanceKey, now);
					}

					overdue.clear();
				},
				recordAbandoned: () => {
					const now = clock.monotonic();
					this.#times.recordAbandoned(request.timesKey, {sentAt, now});
					if (now - sentAt >= limits.lateAfter) {
						this.#options.activity.recordSilent(server, {now, since: sentAt});
					}
				},
			};
		};
	}

	/** Without a history, the stall timeout decides, or half of the remaining time, so that another server can still answer. */
	#limitsOf({timesKey, deadline, stallMilliseconds}: WatchedRequest, now: number): Pick<OverdueSend, 'lateAfter' | 'patience' | 'answerTime'> {
		const quantile = this.#times.quantile(timesKey, {share: lateShare, now});
		const limit = Math.min(stallMilliseconds, (deadline - now) / 2);
		const lateAfter = Math.max(minimumLateMilliseconds, quantile ?? limit);
		return {lateAfter, patience: Math.max(lateAfter, limit), answerTime: quantile ?? 0};
	}

	#responsiveness(server: ServerId, sentAt: number): () => Promise<boolean | undefined> {
		const {clock, activity, isReachable} = this.#options;
		let checkedAt = Number.NEGATIVE_INFINITY;
		let wasReachable: boolean | undefined;
		return async () => {
			const now = clock.monotonic();
			if (now - sentAt < reachabilityCheckMilliseconds) {
				return undefined;
			}

			if (!activity.hasSentDataSince(server, sentAt) && now - checkedAt >= recheckMilliseconds) {
				checkedAt = now;
				wasReachable = await isReachable(server);
			}

			return activity.hasSentDataSince(server, sentAt) ? true : wasReachable;
		};
	}
}
