import {LruMap} from '@valehitch/core';
import {type HalfWindows, moveHalfWindows} from './_half-windows.js';
import {RetryBudget} from './retry-budget.js';

/** The limits of the allowance for second sends. */
export type SecondSendAllowanceOptions = {
	/** The second sends allowed per send, and per late send beside servers that are no later than others; 0.05 by default. */
	readonly ratio?: number;
	/** The second sends allowed per second without any traffic; 0.1 by default. Beside servers that are no later than others, it adds up to one, and nothing while sends are late at several servers. */
	readonly minimumPerSecond?: number;
	/** The maximum number of second sends that can accumulate; 10 by default. */
	readonly burst?: number;
	/** The time after which a send no longer counts in the comparison of servers, in milliseconds; each counts for at least half as long; 10,000 by default. */
	readonly windowMilliseconds?: number;
	/** The maximum number of keys; the least recently used one is evicted first; 1024 by default. */
	readonly maximumKeys?: number;
};

/** A send to a server. */
export type AllowanceSend = {
	readonly server: string;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/** The sends to a server. */
type Tally = {
	sends: number;
	late: number;
};

/** The sends by server. */
type Tallies = Map<string, Tally>;

type History = HalfWindows<Tallies> & {
	/** The sends to all servers, and the server with the most late ones. */
	all: Tally;
	latest: string | undefined;
	/** The second sends that are left beside servers that are no later than others. */
	left: number;
	/** When time last added to them, in milliseconds on the monotonic clock. */
	filledAt: number;
};

const millisecondsPerSecond = 1000;
/** What a second send that is answered first gives back: its charge and another one, so that second sends go on while half of them are. */
const worthItCount = 2;
/** The second sends that time alone adds up to beside servers that are no later than others. */
const maximumIdleCount = 1;
/** How many times as many sends are late at a server that counts as later than others. */
const lateFactor = 2;
/** The late sends at another server that may be missing by chance. */
const chanceCount = 2;
/** The share of the sends that are late if nothing is wrong; the quantile after which a send counts as late. */
const usualLateShare = 0.05;
/** The sends without a late one from which a server is compared with others. */
const minimumSends = 3;

/**
Limits the second sends beside working servers, per key.

They are a small share of all sends. Unless far more sends are late at their server than at any other, or the time of the request runs out, they are also a share of the late sends only: requests that are late at all servers most likely take long anywhere, and would otherwise use up what the quick ones have earned. While sends are late at several servers, time adds none. Second sends that are answered first win their charge back.

@example
```ts
const allowance = new SecondSendAllowance();
allowance.recordSend('labels', {server, now});
allowance.recordLate('labels', {server, now});
allowance.withdraw('labels', {server, now});
```
*/
export class SecondSendAllowance {
	readonly #options: Required<SecondSendAllowanceOptions>;
	readonly #budget: RetryBudget;
	readonly #histories: LruMap<string, History>;

	constructor(options: SecondSendAllowanceOptions = {}) {
		this.#options = {
			ratio: 0.05, minimumPerSecond: 0.1, burst: 10, windowMilliseconds: 10_000, maximumKeys: 1024, ...options,
		};
		this.#budget = new RetryBudget(this.#options);
		this.#histories = new LruMap(this.#options.maximumKeys);
	}

	/**
	Records a send.

	@param key What the second sends are limited by, such as a service.
	@param send The send.
	*/
	recordSend(key: string, send: AllowanceSend): void {
		this.#budget.deposit(key, send.now);
		const history = this.#historyAt(key, send.now);
		tallyOf(history, send.server).sends++;
		history.all.sends++;
	}

	/**
	Records that the answer to a send is late; called once for each.

	@param key What the second sends are limited by, such as a service.
	@param send The send, and the time at which it is late.
	*/
	recordLate(key: string, send: AllowanceSend): void {
		const history = this.#historyAt(key, send.now);
		tallyOf(history, send.server).late++;
		history.all.late++;
		history.latest = laterOf(history, send.server);
		this.#add(history, this.#options.ratio);
	}

	/**
	Checks whether a second send is allowed, without charging it.

	@param key What the second sends are limited by, such as a service.
	@param send The send that is late.
	@returns Whether it is allowed.
	*/
	allows(key: string, {server, now}: AllowanceSend): boolean {
		const history = this.#historyAt(key, now);
		return this.allowsLast(key, now) && (history.left >= 1 || isLaterThanOthers(history, server));
	}

	/**
	Checks whether a second send is allowed for a request that most likely ends without an answer otherwise, without charging it.

	@param key What the second sends are limited by, such as a service.
	@param now Milliseconds on the monotonic clock.
	@returns Whether it is allowed.
	*/
	allowsLast(key: string, now: number): boolean {
		return this.#budget.allows(key, now);
	}

	/**
	Charges a second send that was allowed.

	@param key What the second sends are limited by, such as a service.
	@param send The send that is late.
	*/
	withdraw(key: string, send: AllowanceSend): void {
		const history = this.#historyAt(key, send.now);
		if (!isLaterThanOthers(history, send.server)) {
			history.left = Math.max(0, history.left - 1);
		}

		this.#budget.withdraw(key, send.now);
	}

	/**
	Restores the charge of a second send that was not made.

	@param key What the second sends are limited by, such as a service.
	@param send The send that is late, and the current time.
	*/
	restore(key: string, {server, now}: AllowanceSend): void {
		const history = this.#historyAt(key, now);
		if (!isLaterThanOthers(history, server)) {
			this.#add(history, 1);
		}

		this.#budget.restore(key, now);
	}

	/**
	Records a second send that was answered first.

	@param key What the second sends are limited by, such as a service.
	@param now Milliseconds on the monotonic clock.
	*/
	recordWorthIt(key: string, now: number): void {
		this.#add(this.#historyAt(key, now), worthItCount);
		this.#budget.restore(key, now);
	}

	#add(history: History, count: number): void {
		history.left = Math.min(this.#options.burst, history.left + count);
	}

	/** Returns the history of a key, with the sends of the window and what time has added up to now. */
	#historyAt(key: string, now: number): History {
		const {minimumPerSecond, windowMilliseconds} = this.#options;
		const history = this.#histories.getOrCreate(key, () => ({
			current: emptyTallies(), previous: emptyTallies(), all: {sends: 0, late: 0}, latest: undefined, beganAt: now, left: maximumIdleCount, filledAt: now,
		}));
		if (moveHalfWindows(history, {now, windowMilliseconds, createEmpty: emptyTallies})) {
			countAgain(history);
		}

		if (history.left < maximumIdleCount && !isLateAtSeveral(history)) {
			const added = minimumPerSecond * Math.max(0, now - history.filledAt) / millisecondsPerSecond;
			history.left = Math.min(maximumIdleCount, history.left + added);
		}

		history.filledAt = Math.max(history.filledAt, now);
		return history;
	}
}

function emptyTallies(): Tallies {
	return new Map();
}

/** Checks whether far more sends are late at a server than at any other, both by their number and as a part of its sends: servers whose requests take long get fewer others. */
function isLaterThanOthers(history: Pick<History, 'current' | 'previous'>, server: string): boolean {
	const {sends, late} = tallyAt(history, server);
	let isCompared = false;
	for (const id of new Set([...history.current.keys(), ...history.previous.keys()])) {
		const other = tallyAt(history, id);
		if (id === server || (other.late === 0 && other.sends < minimumSends)) {
			continue;
		}

		const otherLate = lateFactor * (other.late + chanceCount);
		if (late < otherLate || late * other.sends < otherLate * sends) {
			return false;
		}

		isCompared = true;
	}

	return isCompared;
}

/** Checks whether more sends than usual are late beside those at the server with the most late ones: such requests most likely take long anywhere. */
function isLateAtSeveral(history: History): boolean {
	const {all, latest} = history;
	const {sends, late} = latest === undefined ? all : tallyAt(history, latest);
	return all.late - late > chanceCount + (lateFactor * usualLateShare * (all.sends - sends));
}

/** Returns the server with the most late sends, after another one at a server was counted. */
function laterOf(history: History, server: string): string {
	const {latest = server} = history;
	return tallyAt(history, server).late > tallyAt(history, latest).late ? server : latest;
}

/** Counts the sends to all servers again after the tallies have moved. */
function countAgain(history: History): void {
	history.all = {sends: 0, late: 0};
	history.latest = undefined;
	for (const [server, {sends, late}] of history.previous) {
		history.all.sends += sends;
		history.all.late += late;
		history.latest = laterOf(history, server);
	}
}

/** Returns the current tally of a server, which may be changed. */
function tallyOf({current}: History, server: string): Tally {
	let tally = current.get(server);
	if (tally === undefined) {
		tally = {sends: 0, late: 0};
		current.set(server, tally);
	}

	return tally;
}

function tallyAt({current, previous}: Pick<History, 'current' | 'previous'>, server: string): Tally {
	const now = current.get(server);
	const before = previous.get(server);
	return {sends: (now?.sends ?? 0) + (before?.sends ?? 0), late: (now?.late ?? 0) + (before?.late ?? 0)};
}
