import {
	type Clock, type InstanceId, RecentMap, type RequestFingerprint,
} from '@valehitch/core';
import {
	SuspectBook, type SuspectRecord, type SuspectStanding,
} from '@valehitch/routing';
import {type DecisionLog} from '../logs/decision-log.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryServers} from './entry-servers.js';

/** What an entry instance needs to know requests that end servers. */
export type EntrySuspectsOptions = {
	readonly clock: Pick<Clock, 'now'>;
	readonly log: DecisionLog;
	readonly servers: Pick<EntryServers, 'processStateOf'>;
	/** Looks whether the process of a server has ended. */
	readonly confirmEnd: (server: ServerRecord) => Promise<boolean>;
	/** Told of a request of which this instance learned something itself. */
	readonly onLearned: (fingerprint: RequestFingerprint) => void;
};

/**
What became of a server whose connection broke: its process goes on for all that is known (`runs`), has ended (`ended`), or is known to have ended from a request before (`known`).
*/
export type LossFinding = 'runs' | 'ended' | 'known';

/** A send that broke. */
export type LostSend = {
	readonly fingerprint: RequestFingerprint;
	readonly request: string;
	readonly server: ServerRecord;
};

/** The ended processes that are held: those of the last seconds, while requests that they had are still being told of their end. */
const endedProcesses = 256;

/**
What one entry instance knows of requests under which servers ended: from its own sends, and from the other instances by way of control.

@example
```ts
const suspects = new EntrySuspects({clock, log, servers, confirmEnd: confirmServerEnd, onLearned});
const finding = await suspects.noteLoss({fingerprint, request: 'a1', server});
suspects.standing(fingerprint); // 'suspect' where the server's process has ended
```
*/
export class EntrySuspects {
	readonly book = new SuspectBook();
	readonly #options: EntrySuspectsOptions;
	/** Looks in progress, one for all requests that a server had, and those that found an end. */
	readonly #looks = new Map<string, Promise<boolean>>();
	readonly #ended = new RecentMap<string, true>(endedProcesses);
	readonly #listeners = new Set<(fingerprint: RequestFingerprint) => void>();

	constructor(options: EntrySuspectsOptions) {
		this.#options = options;
	}

	/**
	Tells what follows for a request.

	@param fingerprint The request.
	@returns Its standing.
	*/
	standing(fingerprint: RequestFingerprint): SuspectStanding {
		return this.book.standing(fingerprint, this.#now());
	}

	/**
	Learns that a connection broke while its server had a request: counts against the request where the process has ended by itself.

	@param lost The request and the server.
	@returns What became of the server.
	*/
	async noteLoss({fingerprint, request, server}: LostSend): Promise<LossFinding> {
		const process = nameOf(server);
		if (!await this.#hasEnded(server, process)) {
			return 'runs';
		}

		const isKnown = this.#ended.peek(process) === true;
		this.#ended.set(process, true);
		if (this.book.noteEnd(fingerprint, {process, at: this.#now()})) {
			this.#options.log('request-suspected', {
				request, fingerprint, server: server.id, startedAt: server.startedAt, standing: this.standing(fingerprint),
			}, 'warn');
			this.#options.onLearned(fingerprint);
			this.#tell(fingerprint, {source: 'own'});
		}

		return isKnown ? 'known' : 'ended';
	}

	/**
	Learns that a server answered a request whole.

	@param fingerprint The request.
	*/
	noteAnswered(fingerprint: RequestFingerprint): void {
		if (this.book.clear(fingerprint)) {
			this.#options.log('request-cleared', {fingerprint});
			this.#options.onLearned(fingerprint);
		}
	}

	/**
	Takes what a control instance tells.

	@param records What changed.
	@param source The control instance.
	*/
	take(records: readonly SuspectRecord[], source: InstanceId): void {
		for (const {fingerprint} of this.book.merge(records)) {
			this.#tell(fingerprint, {source});
		}

		this.book.forget(this.#now());
	}

	/**
	Has a function told of each request that is quarantined from now on, so that one in progress ends.

	@param listener The function.
	@returns Ends it.
	*/
	onQuarantine(listener: (fingerprint: RequestFingerprint) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#now(): number {
		return this.#options.clock.now().getTime();
	}

	#tell(fingerprint: RequestFingerprint, {source}: {readonly source: string}): void {
		if (this.standing(fingerprint) !== 'quarantined') {
			return;
		}

		const processes = this.book.get(fingerprint)?.ends.map(({process}) => process);
		this.#options.log('request-quarantined', {fingerprint, processes, source}, 'warn');
		for (const listener of this.#listeners) {
			listener(fingerprint);
		}
	}

	async #hasEnded(server: ServerRecord, process: string): Promise<boolean> {
		const state = this.#options.servers.processStateOf(server);
		if (state === 'replaced' || this.#ended.peek(process) === true) {
			return true;
		}

		// A server that said that it shuts down may end at any moment, and one that is not known says nothing.
		return state === 'ready' && this.#look(server, process);
	}

	async #look(server: ServerRecord, process: string): Promise<boolean> {
		const look = this.#looks.get(process) ?? this.#options.confirmEnd(server);
		this.#looks.set(process, look);
		const hasEnded = await look;
		this.#looks.delete(process);
		return hasEnded;
	}
}

/** Names one process of a server. */
function nameOf({id, startedAt}: ServerRecord): string {
	return startedAt === undefined ? id : `${id} ${startedAt}`;
}
