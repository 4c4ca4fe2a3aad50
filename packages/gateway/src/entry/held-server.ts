import {setMaxListeners} from 'node:events';
import {type ServerView} from '@valehitch/routing';
import {compareStarts} from '../servers/compare-starts.js';
import {type ServerRecord, type ServerState} from '../servers/server-record.js';

/** The load of one send at its server. */
export type SendLoad = {
	/** Counts the prompt as read: from now on the server only generates, beside others. */
	readonly answerBegins: () => void;
	/** Counts the request as ended. */
	readonly end: () => void;
	/** Aborted once the process that got the request is known to have ended. */
	readonly processEnd: AbortSignal;
};

/** What is known of one process of a server: what it said of itself, that a later one has taken its place, or nothing. */
export type ProcessState = ServerState | 'replaced' | 'unknown';

/** What an entry instance knows of a server besides its own sends in flight. */
export type ServerSurroundings = {
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** The work of the other entry instances there. */
	readonly othersLoad: number;
	/** Whether all control instances that answer call it silent. */
	readonly isSilent: boolean;
	/** Whether its zone seems to be cut off from this one. */
	readonly isBehindCut: boolean;
	readonly isEjected: boolean;
};

/** How a server is first held. */
export type HeldServerOptions = {
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** Told by how much the work changed, in units of a short request. */
	readonly onWork: (change: number) => void;
};

/** The work of a request whose answer has begun, in units of a short request: a batch generates for many at once, while it reads one prompt after the other. */
const streamingWork = 1;

/** The uptime from which the server choice gives a full share. */
const warmMilliseconds = 30_000;

/** The load at a server that is not known any more: nothing is counted. */
export const unknownLoad: SendLoad = {
	answerBegins() {
		// Nothing was counted.
	},
	end() {
		// Nothing was counted.
	},
	processEnd: new AbortController().signal,
};

/**
One process of a backend server as an entry instance knows it: what control says, what is in flight there, and how it was reached of late.

A server that starts again under its id is held anew, so that nothing of its former process counts against it or for it.

@example
```ts
const held = new HeldServer(record, {now, onWork});
const load = held.begin(1);
load.end();
```
*/
export class HeldServer {
	record: ServerRecord;
	readonly addedAt: number;
	/** When anything was last told of it or of its end, in milliseconds on the monotonic clock. */
	toldAt: number;
	/** When anything came from it last, in milliseconds on the monotonic clock; 0 for never. */
	heardAt = 0;
	/** No work goes there before this time, in milliseconds on the monotonic clock. */
	avoidUntil = 0;
	/** Whether the process said that it shuts down. */
	isLeaving = false;
	/** The connections in a row that did not open. */
	unreachable = 0;
	readonly #onWork: HeldServerOptions['onWork'];
	readonly #processEnd = new AbortController();
	#inFlight = 0;
	#work = 0;

	constructor(record: ServerRecord, {now, onWork}: HeldServerOptions) {
		this.record = record;
		this.addedAt = now;
		this.toldAt = now;
		this.#onWork = onWork;
		// Each send in progress listens; hundreds at once are usual.
		setMaxListeners(0, this.#processEnd.signal);
	}

	/** Whether the process is known to have ended, since a later one has taken its place. */
	get hasEnded(): boolean {
		return this.#processEnd.signal.aborted;
	}

	/** The requests in flight. */
	get inFlight(): number {
		return this.#inFlight;
	}

	/** The work of the requests in flight, in units of a short request. */
	get work(): number {
		return this.#work;
	}

	/**
	Counts a request that is sent to it.

	@param work Its work until its answer begins, in units of a short request.
	@returns Counts what is left of it.
	*/
	begin(work: number): SendLoad {
		this.#count(1, work);
		let left = work;
		return {
			answerBegins: () => {
				const less = Math.max(0, left - streamingWork);
				left -= less;
				this.#count(0, -less);
			},
			end: () => {
				this.#count(-1, -left);
			},
			processEnd: this.#processEnd.signal,
		};
	}

	/**
	Tells what is known of the process of a record.

	@param server A record of this server.
	@returns The state of its process; `draining` also where that has ended since.
	*/
	stateOf(server: ServerRecord): ProcessState {
		if (compareStarts(this.record, server) > 0) {
			return 'replaced';
		}

		if (this.isLeaving) {
			return 'draining';
		}

		return this.hasEnded ? 'replaced' : this.record.state;
	}

	/**
	The server as the choice of servers sees it.

	@param surroundings What is known of it besides.
	@returns The view.
	*/
	view({now, othersLoad, isSilent, isBehindCut, isEjected}: ServerSurroundings): ServerView {
		const {id, zone, slots, service} = this.record;
		return {
			id,
			zone,
			capacity: Math.max(1, slots),
			reportedActive: othersLoad,
			ownAtReport: 0,
			reportAge: 0,
			ownInFlight: this.#work,
			draining: false,
			expired: isSilent || this.avoidUntil > now || isBehindCut,
			ejected: isEjected,
			// Servers warm up within milliseconds here, so that the slow start of cold replicas would only unbalance them.
			uptime: Math.max(warmMilliseconds, now - this.addedAt),
			loaded: new Set([service]),
		};
	}

	/**
	Notes that the process has ended.

	@param now Milliseconds on the monotonic clock.
	*/
	noteEnd(now: number): void {
		this.record = {...this.record, state: 'gone'};
		this.toldAt = now;
	}

	/** Ends all sends in progress: their process has ended, and nothing on their connections tells it where it lost its power. */
	endProcess(): void {
		this.#processEnd.abort();
	}

	#count(requests: number, work: number): void {
		this.#inFlight += requests;
		this.#work = this.#inFlight === 0 ? 0 : this.#work + work;
		this.#onWork(work);
	}
}
