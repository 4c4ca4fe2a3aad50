import {setMaxListeners} from 'node:events';
import {type ServerSpeed, type ServerView, type ServerWork} from '@valehitch/routing';
import {ColdPeriod} from '../servers/cold-period.js';
import {compareStartTimes} from '../servers/compare-start-times.js';
import {type ServerRecord, type ServerState} from '../servers/server-record.js';

/** The requests of an instance in flight at a server. */
export type ServerLoad = {
	/** The prompts whose answers have not started, in milliseconds that a server of mean speed takes to process them. */
	readonly reading: number;
	/** The number of answers that are being generated. */
	readonly streams: number;
};

/** The time that counts as one unit of load, in milliseconds: that of a short request. */
export const shortRequestMilliseconds = 100;

/** The load that a send puts on its server. */
export type SendLoad = {
	/** Reduces the load to that of a request whose answer has started, since the server has processed the prompt and only generates from now on. */
	readonly markAnswerStarted: () => void;
	/** Removes the load. */
	readonly end: () => void;
	/** Aborted when the process that received the request is known to have ended. */
	readonly processEnd: AbortSignal;
};

/** The state of one process of a server: the state it announced, or whether it was replaced by a later one or is unknown. */
export type ProcessState = ServerState | 'replaced' | 'unknown';

/** The state of a server from sources other than this instance's own requests in flight. */
export type ServerConditions = {
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** The load of the other entry instances at the server; 0 where `work` includes it. */
	readonly othersLoad: number;
	/** The age of that load, in milliseconds; 0 by default. */
	readonly othersAge?: number | undefined;
	/** Whether all responding control instances report it as silent. */
	readonly isSilent: boolean;
	/** Whether its zone appears to be partitioned from this one. */
	readonly isZoneUnreachable: boolean;
	readonly isEjected: boolean;
	/** Whether it is cold or names a rate limit, and no send to it is left. */
	readonly isRateLimited: boolean;
	/** Whether it has asked this instance for a pause, which goes on. */
	readonly isPaused: boolean;
	/** Its speed; undefined where servers count by their slots. */
	readonly speed?: ServerSpeed | undefined;
	/** The work of all entry instances at it; undefined where load counts in units of a short request. */
	readonly work?: ServerWork | undefined;
};

/** Options of {@linkcode TrackedServer}. */
export type TrackedServerOptions = {
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** Called with each change of the load, in units of a short request. */
	readonly onLoadChange: (change: number) => void;
};

/** The load of a request whose answer has started, in units of a short request. An engine generates the answers of a batch in parallel, but processes prompts one at a time. */
const streamingLoad = 1;

/** The uptime from which the server choice gives a server its full share, in milliseconds. */
const warmMilliseconds = 30_000;

/** The load of an answer that is generated where load counts by the prompts of all entry instances, in units of a short request: how much it delays prompts shows in the speed of the server. */
const streamLoadBesidePrompts = 0.1;
/** The share of the slots from which each further answer counts as a short request, since a prompt waits for a slot once none is left. */
const crowdedShare = 0.8;

/** How long a silent server gets no requests, in milliseconds; after the short silences, the time doubles up to the maximum. */
const initialSilenceMilliseconds = 250;
/** How many silences are short: a sound server may pause for a second or two. */
const shortSilences = 3;
const maximumSilenceMilliseconds = 8000;

/** The load of a send to a server that is no longer known; it has no effect. */
export const noOpLoad: SendLoad = {
	markAnswerStarted() {
		// Nothing was counted.
	},
	end() {
		// Nothing was counted.
	},
	processEnd: new AbortController().signal,
};

/**
One process of a backend server as known to an entry instance: the state that control instances report, the requests in flight, and recent connection failures.

A server that restarts under the same id gets a new object, so that the history of its earlier process does not affect it.

@example
```ts
const server = new TrackedServer(record, {now, onLoadChange});
const load = server.beginSend(1);
load.end();
```
*/
export class TrackedServer {
	record: ServerRecord;
	readonly addedAt: number;
	/** When a control instance last reported it or its end was last recorded, in milliseconds on the monotonic clock. */
	reportedAt: number;
	/** The end of the backoff before which no requests are sent to it, in milliseconds on the monotonic clock. */
	backoffUntil = 0;
	/** Whether the process has announced that it is draining. */
	wasDraining = false;
	/** The number of consecutive connection failures. */
	connectionFailures = 0;
	/** Until when it is cold. */
	readonly cold: ColdPeriod;
	readonly #onLoadChange: TrackedServerOptions['onLoadChange'];
	readonly #processEnd = new AbortController();
	/** A server never changes its service; each choice reads the views of all servers. */
	readonly #loaded: ReadonlySet<string>;
	#heardAt = 0;
	/** Until when it gets no requests if it sends no data before, in milliseconds on the monotonic clock; 0 if it is not silent. */
	#silentUntil = 0;
	/** How often it was found to be silent since it sent data. */
	#silences = 0;
	#inFlight = 0;
	#load = 0;
	#reading = 0;
	/** The number of requests in flight whose answers have not started. */
	#unread = 0;

	constructor(record: ServerRecord, {now, onLoadChange}: TrackedServerOptions) {
		this.record = record;
		this.addedAt = now;
		this.reportedAt = now;
		this.cold = new ColdPeriod(record, now);
		this.#onLoadChange = onLoadChange;
		this.#loaded = new Set([record.service]);
		// Each send in progress adds a listener; hundreds at a time are normal.
		setMaxListeners(0, this.#processEnd.signal);
	}

	/** Whether the process is known to have ended because a later one replaced it. */
	get hasEnded(): boolean {
		return this.#processEnd.signal.aborted;
	}

	/** When data was last received from it, in milliseconds on the monotonic clock; 0 if none was received yet. */
	get heardAt(): number {
		return this.#heardAt;
	}

	/** The number of requests in flight. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** The load of the requests in flight, in units of a short request. */
	get load(): number {
		return this.#load;
	}

	/** The prompts whose answers have not started, in milliseconds that a server of mean speed takes to process them. */
	get reading(): number {
		return this.#reading;
	}

	/** The number of answers that are being generated. */
	get streams(): number {
		return this.#inFlight - this.#unread;
	}

	/**
	Counts a request sent to the server.

	@param load The load of the request until its answer starts, in units of a short request.
	@param reading The time that a server of mean speed takes to process the prompt, in milliseconds; by default that of the load.
	@returns The load of the send, to be reduced as the request progresses.
	*/
	beginSend(load: number, reading = load * shortRequestMilliseconds): SendLoad {
		this.#adjust(1, load);
		let remaining = load;
		const markRead = this.#countUnread(reading);
		return {
			markAnswerStarted: () => {
				const reduction = Math.max(0, remaining - streamingLoad);
				remaining -= reduction;
				markRead();
				this.#adjust(0, -reduction);
			},
			end: () => {
				markRead();
				this.#adjust(-1, -remaining);
			},
			processEnd: this.#processEnd.signal,
		};
	}

	/**
	Returns the state of the process of a record.

	@param server A record of this server.
	@returns The state; a process that drained before it ended remains `draining`.
	*/
	stateOf(server: ServerRecord): ProcessState {
		if (compareStartTimes(this.record, server) > 0) {
			return 'replaced';
		}

		if (this.wasDraining) {
			return 'draining';
		}

		return this.hasEnded ? 'replaced' : this.record.state;
	}

	/**
	Returns the view of the server that the server choice uses.

	@param conditions What else is known about the server.
	@returns The view.
	*/
	view({now, othersLoad, othersAge = 0, isSilent, isZoneUnreachable, isEjected, isRateLimited, isPaused, speed, work}: ServerConditions): ServerView {
		const {id, zone, slots} = this.record;
		return {
			id,
			zone,
			capacity: Math.max(1, slots),
			reportedInFlight: work === undefined ? othersLoad : 0,
			ownInFlightAtReport: 0,
			reportAge: othersAge,
			ownInFlight: work === undefined ? this.#load : promptLoad(work, slots),
			draining: false,
			expired: isSilent || this.backoffUntil > now || this.#silentUntil > now || isZoneUnreachable,
			ejected: isEjected,
			rateLimited: isRateLimited,
			paused: isPaused,
			// These servers warm up within milliseconds, so a slow start, as used for cold replicas, would only unbalance the load.
			uptime: Math.max(warmMilliseconds, now - this.addedAt),
			loaded: this.#loaded,
			// Fields by name: a spread makes each view many times as expensive.
			speed: speed?.speed,
			homeSpeed: speed?.homeSpeed,
		};
	}

	/** Until when it gets no requests because it is silent, in milliseconds on the monotonic clock; 0 if it is not. */
	get silentUntil(): number {
		return this.#silentUntil;
	}

	/**
	Records that it sends and accepts nothing. It gets no requests until it sends data, or for a time after which it is tried.

	@param now Milliseconds on the monotonic clock.
	*/
	recordSilence(now: number): void {
		// Other sends of that time say the same; a longer silence shows in the request by which it is tried.
		if (this.#silences === 0) {
			this.#beginSilence(now);
		}
	}

	/**
	Records that a request is sent to it. After a silence it gets only one; further ones follow once it has sent data, or after another silence.

	@param now Milliseconds on the monotonic clock.
	*/
	recordSend(now: number): void {
		if (this.#silences > 0 && now >= this.#silentUntil) {
			this.#beginSilence(now);
		}
	}

	/**
	Records that data was received from it, which ends a silence.

	@param now Milliseconds on the monotonic clock.
	*/
	recordData(now: number): void {
		this.#heardAt = now;
		this.#silentUntil = 0;
		this.#silences = 0;
	}

	/** Records that the process has announced its shutdown. */
	markDraining(): void {
		this.record = {...this.record, state: 'draining'};
		this.wasDraining = true;
	}

	/**
	Records that the process has ended.

	@param now Milliseconds on the monotonic clock.
	*/
	markEnded(now: number): void {
		this.record = {...this.record, state: 'gone'};
		this.reportedAt = now;
	}

	/** Aborts all sends in progress, because the process has ended. If its machine lost power, the connections themselves do not report this. */
	abortSends(): void {
		this.#processEnd.abort();
	}

	/** Counts a prompt, in milliseconds of processing, until the returned function is first called. */
	#countUnread(milliseconds: number): () => void {
		this.#unread++;
		this.#reading += milliseconds;
		let isRead = false;
		return () => {
			if (isRead) {
				return;
			}

			isRead = true;
			this.#unread--;
			this.#reading = this.#unread === 0 ? 0 : this.#reading - milliseconds;
		};
	}

	#beginSilence(now: number): void {
		this.#silentUntil = now + Math.min(maximumSilenceMilliseconds, initialSilenceMilliseconds * (2 ** Math.max(0, this.#silences + 1 - shortSilences)));
		this.#silences++;
	}

	#adjust(requests: number, loadChange: number): void {
		this.#inFlight += requests;
		this.#load = this.#inFlight === 0 ? 0 : this.#load + loadChange;
		this.#onLoadChange(loadChange);
	}
}

/** Returns the load of all entry instances by the prompts that wait, in units of a short request. */
function promptLoad({reading, streams}: ServerWork, slots: number): number {
	const crowding = Math.max(0, streams - (crowdedShare * slots)) * streamingLoad;
	return (Math.max(0, reading) / shortRequestMilliseconds) + (streams * streamLoadBesidePrompts) + crowding;
}
