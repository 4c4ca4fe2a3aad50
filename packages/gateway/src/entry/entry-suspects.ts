import {
	type Clock, type InstanceId, LruMap, type PromptPartFingerprint, type RequestFingerprint, type SuspectFingerprint,
} from '@valehitch/core';
import {
	isPromptPart, type ServerExit, SuspectRegistry, type SuspectRecord, type SuspectStatus,
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
	/** Called when this instance itself changes the record of a request or a part. */
	readonly onChanged: (fingerprint: SuspectFingerprint) => void;
};

/**
The state of a server after a connection to it broke: its process is assumed to be running (`running`), has just been found to have ended (`ended`), was already known to have ended (`already-ended`), or runs and is unreachable from this instance only (`link-lost`).
*/
export type LossFinding = ProcessCheck | 'already-ended';

/** What may be at fault when a server ends during a request. */
export type RequestSuspects = {
	readonly fingerprint: RequestFingerprint;
	/** The parts of its prompt that other prompts can have too, in order. */
	readonly parts: readonly PromptPartFingerprint[];
};

/** A send whose connection broke. */
export type LostSend = RequestSuspects & {
	readonly request: string;
	readonly server: ServerRecord;
};

/** The maximum number of ended processes that are remembered. They are needed only for the few seconds until all requests in flight at them have failed. */
const maximumEndedProcesses = 256;
/** The maximum number of parts whose last complete answer is remembered. */
const maximumAnsweredParts = 2048;
/** How long after a complete answer an exit does not count against a part, in milliseconds, so that parts in constant use are not suspected at each exit. */
const answerGraceMilliseconds = 1000;
const statuses: readonly SuspectStatus[] = ['unknown', 'suspect', 'doubtful', 'quarantined'];

/**
The requests and parts of prompts during which server processes ended, as known to an entry instance from its own sends and, through the control instances, from other entry instances.

A complete answer clears a part of what happened before it, also where that becomes known later.

@example
```ts
const suspects = new EntrySuspects({clock, log, servers, checkProcess, onChanged});
const finding = await suspects.recordLoss({fingerprint, parts: [], request: 'a1', server});
suspects.standingOf({fingerprint, parts: []}); // 'suspect' if the server's process has ended
```
*/
export class EntrySuspects {
	readonly registry = new SuspectRegistry();
	readonly #options: EntrySuspectsOptions;
	/** Checks in progress; all requests that were in flight at a process share one check. */
	readonly #checks = new Map<string, Promise<ProcessCheck>>();
	readonly #ended = new LruMap<string, true>(maximumEndedProcesses);
	/** When each part was last answered completely, in milliseconds since the epoch. */
	readonly #answered = new LruMap<PromptPartFingerprint, number>(maximumAnsweredParts);
	/** The quarantined parts that have been logged. */
	readonly #loggedParts = new LruMap<PromptPartFingerprint, true>(maximumAnsweredParts);
	readonly #listeners = new Set<(fingerprint: RequestFingerprint) => void>();

	constructor(options: EntrySuspectsOptions) {
		this.#options = options;
	}

	/**
	Returns the standing of a request, whatever its prompt contains, or of a part of prompts.

	@param fingerprint The request or the part.
	@returns Its standing.
	*/
	statusOf(fingerprint: SuspectFingerprint): SuspectStatus {
		return this.registry.status(fingerprint, this.#now());
	}

	/**
	Returns the standing of a request, which is the worst of its own and those of the parts of its prompt.

	@param request The request.
	@returns Its standing.
	*/
	standingOf({fingerprint, parts}: RequestSuspects): SuspectStatus {
		let worst = this.statusOf(fingerprint);
		for (const part of parts) {
			const status = this.statusOf(part);
			if (status === 'quarantined') {
				this.#logQuarantinedPart(part);
			}

			worst = statuses.indexOf(status) > statuses.indexOf(worst) ? status : worst;
		}

		return worst;
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
		const at = this.#now();
		this.#recordExitOfParts(parts, {process, at});
		if (this.registry.recordExit(fingerprint, {process, at, parts})) {
			this.#options.log('request-suspected', {
				request, fingerprint, parts, server: server.id, startedAt: server.startedAt, standing: this.statusOf(fingerprint),
			}, 'warn');
			this.#options.onChanged(fingerprint);
			this.#notifyQuarantine(fingerprint, {source: 'own'});
		}

		return isKnown ? 'already-ended' : 'ended';
	}

	/**
	Records that a server answered a request completely, which clears the request.

	@param fingerprint The request.
	*/
	recordAnswered(fingerprint: RequestFingerprint): void {
		this.#clear(fingerprint);
	}

	/**
	Records that a server answered prompts with some parts completely, which clears the parts.

	@param parts The parts.
	*/
	recordAnsweredParts(parts: readonly PromptPartFingerprint[]): void {
		const now = this.#now();
		for (const part of parts) {
			this.#answered.set(part, now);
			this.#clear(part);
		}
	}

	/**
	Merges records from a control instance.

	@param records The changed records.
	@param source The control instance.
	*/
	merge(records: readonly SuspectRecord[], source: InstanceId): void {
		for (const {fingerprint, ends} of this.registry.merge(records)) {
			if (isPromptPart(fingerprint)) {
				this.#applyAnswer(fingerprint, ends);
			} else {
				this.#notifyQuarantine(fingerprint, {source});
			}
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

	#recordExitOfParts(parts: readonly PromptPartFingerprint[], {process, at}: {readonly process: string; readonly at: number}): void {
		for (const [depth, part] of parts.entries()) {
			if (!this.#wasAnsweredAround(part, at) && this.registry.recordExit(part, {
				process, at, depth, answeredAt: this.#answered.peek(part),
			})) {
				this.#options.onChanged(part);
			}
		}
	}

	/** Applies to a record of other instances what this one knows of the part's answers. */
	#applyAnswer(part: PromptPartFingerprint, ends: readonly ServerExit[]): void {
		const answeredAt = this.#answered.peek(part);
		if (answeredAt === undefined) {
			return;
		}

		if (ends.every(({at, isCleared}) => isCleared || this.#wasAnsweredAround(part, at))) {
			this.#clear(part);
		} else if (this.registry.recordAnswer(part, answeredAt)) {
			this.#options.onChanged(part);
		}
	}

	/** Checks whether a part was answered after an exit or shortly before it. */
	#wasAnsweredAround(part: PromptPartFingerprint, exitAt: number): boolean {
		return (this.#answered.peek(part) ?? Number.NEGATIVE_INFINITY) + answerGraceMilliseconds >= exitAt;
	}

	#clear(fingerprint: SuspectFingerprint): void {
		if (this.registry.clear(fingerprint)) {
			this.#options.log('request-cleared', {fingerprint});
			this.#options.onChanged(fingerprint);
		}
	}

	#logQuarantinedPart(part: PromptPartFingerprint): void {
		if (this.#loggedParts.peek(part) === undefined) {
			this.#loggedParts.set(part, true);
			this.#options.log('prompt-part-quarantined', {fingerprint: part, processes: this.#processesOf(part)}, 'warn');
		}
	}

	#processesOf(fingerprint: SuspectFingerprint): readonly string[] | undefined {
		return this.registry.get(fingerprint)?.ends.map(({process}) => process);
	}

	#notifyQuarantine(fingerprint: RequestFingerprint, {source}: {readonly source: string}): void {
		if (this.statusOf(fingerprint) !== 'quarantined') {
			return;
		}

		this.#options.log('request-quarantined', {fingerprint, processes: this.#processesOf(fingerprint), source}, 'warn');
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
