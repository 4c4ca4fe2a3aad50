import {type ServerId} from '@valehitch/core';

/** A server that was silent. */
export type SilentServer = {
	/** When its silence was noticed, in milliseconds on the monotonic clock. */
	readonly now: number;
	/** When the silence began. */
	readonly since: number;
};

type Activity = {
	/** When it last sent data, in milliseconds on the monotonic clock. */
	sentDataAt: number;
	/** Until when it gets no requests if it sends no data before; 0 if it is not silent. */
	silentUntil: number;
	/** How often it was found to be silent since it sent data. */
	silences: number;
};

const initialSilenceMilliseconds = 500;
const maximumSilenceMilliseconds = 8000;

/**
Records when servers sent data, and avoids silent ones until they do, for a time that doubles up to a maximum.

@example
```ts
activity.recordSilent(server, {now, since: sentAt});
activity.isSilent(server, now);
activity.recordData(server, now);
```
*/
export class ServerActivity {
	readonly #servers = new Map<ServerId, Activity>();

	/**
	Records that a server has sent data, so that it is not silent.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	*/
	recordData(server: ServerId, now: number): void {
		this.#servers.set(server, {sentDataAt: now, silentUntil: 0, silences: 0});
	}

	/**
	Returns when a server last sent data on any connection.

	@param server The server.
	@returns Milliseconds on the monotonic clock; negative infinity if it has sent none.
	*/
	sentDataAt(server: ServerId): number {
		return this.#servers.get(server)?.sentDataAt ?? Number.NEGATIVE_INFINITY;
	}

	/**
	Checks whether a server has sent data on any connection since a time.

	@param server The server.
	@param since Milliseconds on the monotonic clock.
	@returns Whether it has.
	*/
	hasSentDataSince(server: ServerId, since: number): boolean {
		return this.sentDataAt(server) >= since;
	}

	/**
	Records that a server owes data; it counts as silent unless it has sent other data meanwhile.

	@param server The server.
	@param silence When the silence began and was noticed.
	*/
	recordSilent(server: ServerId, {now, since}: SilentServer): void {
		// Requests that were sent before it was found to be silent tell nothing new.
		if (this.hasSentDataSince(server, since) || this.isSilent(server, now)) {
			return;
		}

		const {sentDataAt = Number.NEGATIVE_INFINITY, silences = 0} = this.#servers.get(server) ?? {};
		const duration = Math.min(maximumSilenceMilliseconds, initialSilenceMilliseconds * (2 ** silences));
		this.#servers.set(server, {sentDataAt, silentUntil: now + duration, silences: silences + 1});
	}

	/**
	Checks whether a server is silent.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Whether other servers are preferred to it.
	*/
	isSilent(server: ServerId, now: number): boolean {
		return (this.#servers.get(server)?.silentUntil ?? 0) > now;
	}

	/**
	Forgets a server that has left.

	@param server The server.
	*/
	forget(server: ServerId): void {
		this.#servers.delete(server);
	}
}
