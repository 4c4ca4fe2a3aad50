import {type ServerId} from '@valehitch/core';

/** A pause that a server asked for. */
export type RequestedServerPause = {
	/** Its length in milliseconds; longer ones are cut to five minutes. */
	readonly milliseconds: number;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

type Pause = {
	/** When it ends, in milliseconds on the monotonic clock. */
	readonly until: number;
	/** When the trial after it was sent; undefined if none was. */
	readonly trialAt?: number;
};

/** The longest pause, in milliseconds, so that a server with a wrong value is not lost for good. */
const maximumPauseMilliseconds = 300_000;
/** The time after which a trial without an answer is repeated, in milliseconds. */
const trialMilliseconds = 1000;

/**
Keeps the pauses that servers asked this instance for. It answers the load of servers that reject requests: having nothing in progress, they look idle and would draw the more requests.

After a pause one request goes there as a trial, and others follow only once it was answered without another pause.

@example
```ts
const pauses = new RequestedPauses();
pauses.begin(server, {milliseconds: 3000, now});
pauses.allows(server, now + 1000); // false
```
*/
export class RequestedPauses {
	readonly #pauses = new Map<ServerId, Pause>();

	/**
	Begins or extends a pause.

	@param server The server.
	@param pause The pause.
	*/
	begin(server: ServerId, {milliseconds, now}: RequestedServerPause): void {
		const until = now + Math.min(milliseconds, maximumPauseMilliseconds);
		this.#pauses.set(server, {until: Math.max(until, this.#pauses.get(server)?.until ?? 0)});
	}

	/**
	Checks whether a request may be sent to a server now.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the server is not in a pause, and no trial after one is in progress.
	*/
	allows(server: ServerId, now: number): boolean {
		return this.waitFor(server, now) === 0;
	}

	/**
	Returns how long it takes until a request may be sent to a server.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Milliseconds; 0 if one may be sent now.
	*/
	waitFor(server: ServerId, now: number): number {
		const pause = this.#pauses.get(server);
		if (pause === undefined) {
			return 0;
		}

		const {until, trialAt} = pause;
		return Math.max(0, (trialAt === undefined ? until : trialAt + trialMilliseconds) - now);
	}

	/**
	Counts a send to a server; the first one after a pause is the trial.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	*/
	countSend(server: ServerId, now: number): void {
		const pause = this.#pauses.get(server);
		if (pause !== undefined && now >= pause.until) {
			this.#pauses.set(server, {...pause, trialAt: now});
		}
	}

	/**
	Records an answer that asks for no pause. It lets other requests follow if its request was sent after the pause.

	@param server The server.
	@param sentAt When the request was sent, in milliseconds on the monotonic clock.
	*/
	recordAnswer(server: ServerId, sentAt: number): void {
		const pause = this.#pauses.get(server);
		if (pause !== undefined && sentAt >= pause.until) {
			this.#pauses.delete(server);
		}
	}

	/**
	Removes what is known about a server.

	@param server The server.
	*/
	removeServer(server: ServerId): void {
		this.#pauses.delete(server);
	}
}
