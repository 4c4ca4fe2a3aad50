import {type InstanceId, type ServerId} from '@valehitch/core';

/** What control instances say of a server together; `unknown` where none that answers tells of it. */
export type ServerStanding = 'alive' | 'silent' | 'unknown';

/**
What each control instance says of each server: a server is silent once all that answer call it so.

A control instance that is cut off from the others misses the announcements of the servers that announce themselves there, so that its word alone proves nothing.

@example
```ts
const standings = new ServerStandings();
standings.tell(server, {source, isSilent: true});
standings.of(server); // 'silent'
```
*/
export class ServerStandings {
	readonly #isSilentBy = new Map<ServerId, Map<InstanceId, boolean>>();
	readonly #lost = new Set<InstanceId>();

	/**
	Notes what a control instance says of a server.

	@param server The server.
	@param word The control instance, and whether the server has announced itself to none for long, as far as that instance knows.
	*/
	tell(server: ServerId, {source, isSilent}: {readonly source: InstanceId; readonly isSilent: boolean}): void {
		const words = this.#isSilentBy.get(server) ?? new Map<InstanceId, boolean>();
		this.#isSilentBy.set(server, words.set(source, isSilent));
	}

	/**
	Notes that a control instance does not answer: its word counts again once it does.

	@param source The control instance.
	*/
	lose(source: InstanceId): void {
		this.#lost.add(source);
	}

	/**
	Notes that a control instance answers.

	@param source The control instance.
	@param options `isWhole`: whether it tells all that it has, so that what it said before counts no more.
	*/
	hear(source: InstanceId, {isWhole}: {readonly isWhole: boolean}): void {
		this.#lost.delete(source);
		if (!isWhole) {
			return;
		}

		for (const words of this.#isSilentBy.values()) {
			words.delete(source);
		}
	}

	/**
	Forgets a server.

	@param server The server.
	*/
	forget(server: ServerId): void {
		this.#isSilentBy.delete(server);
	}

	/**
	What the control instances that answer say of a server.

	@param server The server.
	@returns Alive where one says so, silent where all that tell of it do.
	*/
	of(server: ServerId): ServerStanding {
		let standing: ServerStanding = 'unknown';
		for (const [source, isSilent] of this.#isSilentBy.get(server) ?? []) {
			if (this.#lost.has(source)) {
				continue;
			}

			if (!isSilent) {
				return 'alive';
			}

			standing = 'silent';
		}

		return standing;
	}

	/**
	Tells whether any control instance called a server alive last, also one that does not answer: it tells of a server only where something changes.

	@param server The server.
	@returns Whether one did.
	*/
	isHeldByAny(server: ServerId): boolean {
		const words = this.#isSilentBy.get(server)?.values() ?? [];
		return [...words].includes(false);
	}
}
