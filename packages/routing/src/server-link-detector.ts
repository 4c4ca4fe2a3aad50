import {type ServerId} from '@valehitch/core';

/**
What an instance knows of its links to backend servers: connections succeed (`connected`), several servers in a row were unreachable (`suspected`), or trial connections to others failed as well (`cut-off`).
*/
export type ServerLinkState = 'connected' | 'suspected' | 'cut-off';

/** Options of {@linkcode ServerLinkDetector}. */
export type ServerLinkDetectorOptions = {
	/** The number of servers that must be unreachable without a connection in between; 2 by default, since a single server may have failed on its own. */
	readonly minimumServers?: number;
};

/**
Detects that an instance reaches no backend server, so that it does not take all servers to have failed when only its own links have.

Only new connections count: open ones may go on while new ones fail, and the reverse.

@example
```ts
const links = new ServerLinkDetector();
links.recordUnreachable(first, now);
links.recordUnreachable(second, now); // true: trial connections are due
links.recordTrialsFailed();
links.state; // 'cut-off'
```
*/
export class ServerLinkDetector {
	readonly #minimumServers: number;
	readonly #unreachable = new Set<ServerId>();
	#since: number | undefined;
	#state: ServerLinkState = 'connected';

	constructor({minimumServers = 2}: ServerLinkDetectorOptions = {}) {
		this.#minimumServers = minimumServers;
	}

	/** What is known of the links. */
	get state(): ServerLinkState {
		return this.#state;
	}

	/** The servers that were unreachable since the last connection. */
	get unreachable(): ReadonlySet<ServerId> {
		return this.#unreachable;
	}

	/** When the first of them was found unreachable, in milliseconds on the monotonic clock; undefined if none was. */
	get since(): number | undefined {
		return this.#since;
	}

	/**
	Records that no connection to a server could be opened.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Whether a suspicion begins.
	*/
	recordUnreachable(server: ServerId, now: number): boolean {
		this.#unreachable.add(server);
		this.#since ??= now;
		if (this.#state !== 'connected' || this.#unreachable.size < this.#minimumServers) {
			return false;
		}

		this.#state = 'suspected';
		return true;
	}

	/** Records that a new connection to a server was opened, which ends a suspicion or a cut. */
	recordConnected(): void {
		this.#unreachable.clear();
		this.#since = undefined;
		this.#state = 'connected';
	}

	/**
	Records that no trial connection to other servers could be opened.

	@returns Whether this turns a suspicion into a cut.
	*/
	recordTrialsFailed(): boolean {
		const isNew = this.#state === 'suspected';
		this.#state = isNew ? 'cut-off' : this.#state;
		return isNew;
	}
}
