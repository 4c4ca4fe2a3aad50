import {
	type Clock, type InstanceId, LruMap, type RequestFingerprint,
} from '@valehitch/core';
import {
	SuspectRegistry, type SuspectRecord, type SuspectStatus,
} from '@valehitch/routing';
import {type DecisionLog} from '../logs/decision-log.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type ProcessCheck} from './check-server-process.js';
import {type EntryServers} from './entry-servers.js';

/** Options of {@linkcode EntrySuspects}. */
export type EntrySuspectsOptions = {
	readonly clock: Pick<Clock, 'now'>;
	readonly log: DecisionLog;
	readonly servers: Pick<EntryServers, 'processStateOf'>;
	/** Checks what has become of the process of a server whose connection broke. */
	readonly checkProcess: (server: ServerRecord) => Promise<ProcessCheck>;
	/** Called when this instance itself changes the record of a request. */
	readonly onChanged: (fingerprint: RequestFingerprint) => void;
};

/**
The state of a server after a connection to it broke: its process is assumed to be running (`running`), has just been found to have ended (`ended`), was already known to have ended (`already-ended`), or runs and is unreachable from this instance only (`link-lost`).
*/
export type LossFinding = ProcessCheck | 'already-ended';

/** A send whose connection broke. */
export type LostSend = {
	readonly fingerprint: RequestFingerprint;
	/** The ids of the parts of its prompt that other prompts can have too. */
	readonly parts: readonly string[];
	readonly request: string;
	readonly server: ServerRecord;
};

/** The maximum number of ended processes that are remembered. They are needed only for the few seconds until all requests in flight at them have failed. */
const maximumEndedProcesses = 256;

/**
The requests during which server processes ended, as known to an entry instance from its own sends and, through the control instances, from other entry instances.

@example
```ts
const suspects = new EntrySuspects({clock, log, servers, checkProcess, onChanged});
const finding = await suspects.recordLoss({fingerprint, parts: [], request: 'a1', server});
suspects.standing(fingerprint); // 'suspect' if the server's process has ended
```
*/
export class EntrySuspects {
	readonly registry = new SuspectRegistry();
	readonly #options: EntrySuspectsOptions;
	/** Checks in progress; all requests that were in flight at a process share one check. */
	readonly #checks = new Map<string, Promise<ProcessCheck>>();
	readonly #ended = new LruMap<string, true>(maximumEndedProcesses);
	readonly #listeners = new Set<(fingerprint: RequestFingerprint) => void>();

	constructor(options: EntrySuspectsOptions) {
		this.#options = options;
	}

	/**
	Returns the standing of a request.

	@param fingerprint The request.
	@returns Its standing.
	*/
	statusOf(fingerprint: RequestFingerprint): SuspectStatus {
		return this.registry.status(fingerprint, this.#now());
	}

	/**
	Records that a connection broke while its server was processing a request. It counts against the request if the process has ended unexpectedly.

	@param lost The request and the server.
	@returns The state of the server.
	*/
	async recordLoss({fingerprint, parts, request, server}: LostSend): Promise<LossFinding> {
		const process = processNameOf(server);
		const check = await this.#check(server, process);
		if (check !== 'ended') {
			return check;
		}

		const isKnown = this.#ended.peek(process) === true;
		this.#ended.set(process, true);
		if (this.registry.recordExit(fingerprint, {process, at: this.#now()})) {
			this.#options.log('request-suspected', {
				request, fingerprint, parts, server: server.id, startedAt: server.startedAt, standing: this.statusOf(fingerprint),
			}, 'warn');
			this.#options.onChanged(fingerprint);
			this.#notifyQuarantine(fingerprint, {source: 'own'});
		}

		return isKnown ? 'already-ended' : 'ended';
	}

	/**
	Records that a server answered a request completely, which clears it.

	@param fingerprint The request.
	*/
	recordAnswered(fingerprint: RequestFingerprint): void {
		if (this.registry.clear(fingerprint)) {
			this.#options.log('request-cleared', {fingerprint});
			this.#options.onChanged(fingerprint);
		}
	}

	/**
	Merges records from a control instance.

	@param records The changed records.
	@param source The control instance.
	*/
	merge(records: readonly SuspectRecord[], source: InstanceId): void {
		for (const {fingerprint} of this.registry.merge(records)) {
			this.#notifyQuarantine(fingerprint, {source});
		}

		this.registry.deleteExpired(this.#now());
	}

	/**
	Registers a listener for requests that become quarantined, so that sends in progress can be cancelled.

	@param listener The listener.
	@returns A function that removes the listener.
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

	#notifyQuarantine(fingerprint: RequestFingerprint, {source}: {readonly source: string}): void {
		if (this.statusOf(fingerprint) !== 'quarantined') {
			return;
		}

		const processes = this.registry.get(fingerprint)?.ends.map(({process}) => process);
		this.#options.log('request-quarantined', {fingerprint, processes, source}, 'warn');
		for (const listener of this.#listeners) {
			listener(fingerprint);
		}
	}

	async #check(server: ServerRecord, process: string): Promise<ProcessCheck> {
		const state = this.#options.servers.processStateOf(server);
		if (state === 'replaced' || this.#ended.peek(process) === true) {
			return 'ended';
		}

		// A draining server may exit at any time, and nothing can be concluded about an unknown one.
		return state === 'ready' ? this.#checkOnce(server, process) : 'running';
	}

	async #checkOnce(server: ServerRecord, process: string): Promise<ProcessCheck> {
		const check = this.#checks.get(process) ?? this.#options.checkProcess(server);
		this.#checks.set(process, check);
		const result = await check;
		this.#checks.delete(process);
		return result;
	}
}

/** Returns an identifier of one process of a server. */
function processNameOf({id, startedAt}: ServerRecord): string {
	return startedAt === undefined ? id : `${id} ${startedAt}`;
}
