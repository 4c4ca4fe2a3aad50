import {type ServerId} from '@valehitch/core';
import {type ServerProcess} from '../servers/server-limits.js';

type Brittleness = {
	readonly startedAt: number | undefined;
	readonly rejectionsPerSecond: number;
	/** When it was last heard, in milliseconds on the monotonic clock. */
	readonly heardAt: number;
};

/**
The servers that say that they fall over if they have to reject more than some requests in a second.

@example
```ts
const brittle = new BrittleServers();
brittle.hear(server, {rejectionsPerSecond: 5, now});
brittle.rejectionsOf(server); // 5
```
*/
export class BrittleServers {
	readonly #servers = new Map<ServerId, Brittleness>();

	/** The number of such servers. */
	get count(): number {
		return this.#servers.size;
	}

	/**
	Returns the rejections in a second that a server bears.

	@param server The server.
	@returns The rejections; undefined if it is not brittle.
	*/
	rejectionsOf({id, startedAt}: ServerProcess): number | undefined {
		const brittleness = this.#servers.get(id);
		return brittleness?.startedAt === startedAt ? brittleness?.rejectionsPerSecond : undefined;
	}

	/**
	Records that a server said how many rejections it bears.

	@param server The server.
	@param said The rejections in a second, and the time.
	@returns Whether the number changed.
	*/
	hear(server: ServerProcess, {rejectionsPerSecond, now}: {readonly rejectionsPerSecond: number; readonly now: number}): boolean {
		const hasChanged = this.rejectionsOf(server) !== rejectionsPerSecond;
		this.#servers.set(server.id, {startedAt: server.startedAt, rejectionsPerSecond, heardAt: now});
		return hasChanged;
	}

	/**
	Records that a server answered without saying so. This counts if the request was sent after it last did, because answers overtake each other.

	@param server The server.
	@param sentAt When the request was sent, in milliseconds on the monotonic clock.
	@returns Whether the server was brittle until now.
	*/
	hearNone({id}: ServerProcess, sentAt: number): boolean {
		const brittleness = this.#servers.get(id);
		return brittleness !== undefined && sentAt > brittleness.heardAt && this.#servers.delete(id);
	}

	/**
	Removes what is known of a server whose process has ended.

	@param server The server.
	*/
	removeServer(server: ServerId): void {
		this.#servers.delete(server);
	}
}
