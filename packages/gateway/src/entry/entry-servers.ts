import {
	type InstanceId, type ServerId, type ServiceId,
} from '@valehitch/core';
import {
	chooseServer, OutlierEjection, prefixHash, type ServerView, ZoneSuspicion,
} from '@valehitch/routing';
import {type LoadMessage} from '../control/peer-message.js';
import {compareStarts} from '../servers/compare-starts.js';
import {hasReplaced} from '../servers/has-replaced.js';
import {isGraver} from '../servers/is-graver.js';
import {mergeServerRecord} from '../servers/merge-server-record.js';
import {defaultForgetMilliseconds} from '../servers/server-directory.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryServersOptions, type SendResult, type TakeRecordsOptions} from './entry-servers-options.js';
import {type FindServerOptions} from './find-server-options.js';
import {
	HeldServer, type ProcessState, type SendLoad, unknownLoad,
} from './held-server.js';
import {ServerStandings} from './server-standings.js';

/** An engine batches: twice the mean load costs it little, a prompt that it must read again costs more. */
const loadBound = 1.5;
/** With the loads of all instances known, comparing more servers costs nothing but the comparison. */
const samples = 4;
/** The busier the own zone must be before another helps, as a share of its slots. */
const zonePenalty = 0.1;
/** The pause after a connection that was not opened; doubles up to the longest. */
const firstAvoidMilliseconds = 500;
const longestAvoidMilliseconds = 8000;
/** The end of a server is remembered for longer than any control instance that missed it goes on telling of the server. */
const forgetEndedMilliseconds = 2 * defaultForgetMilliseconds;
/** A silent server is forgotten before control forgets it, so that its end is told to whoever still holds it. */
const forgetSilentMilliseconds = defaultForgetMilliseconds / 2;

/**
The backend servers as one entry instance knows them: what control says, what it has in flight itself, and how its own sends ended.

@example
```ts
const servers = new EntryServers({zone, random, share, onReplaced});
servers.take(records, {source, now});
servers.find({service, isWanted: () => true, excluded: new Set(), subject: undefined, now});
```
*/
export class EntryServers {
	readonly #options: EntryServersOptions;
	readonly #servers = new Map<ServerId, HeldServer>();
	readonly #ejection = new OutlierEjection({
		threshold: 0.5, baseMilliseconds: 2000, maximumMilliseconds: 8000, maximumShare: 0.4,
	});

	readonly #zones = new ZoneSuspicion();
	readonly #standings = new ServerStandings();

	constructor(options: EntryServersOptions) {
		this.#options = options;
	}

	/**
	Takes records of a control instance.

	@param records What changed.
	@param options The control instance, the time, and whether the records are all that it has.
	@returns The records that are new, or whose state is.
	*/
	take(records: readonly ServerRecord[], {source, now, isWhole = false}: TakeRecordsOptions): readonly ServerRecord[] {
		this.#standings.hear(source, {isWhole});
		const changed: ServerRecord[] = [];
		for (const record of records) {
			const held = this.#servers.get(record.id);
			if (held === undefined || compareStarts(record, held.record) > 0) {
				this.#join(record, {source, now});
				changed.push(record);
			} else if (this.#update(held, record, {source, now})) {
				changed.push(held.record);
			}
		}

		this.#forget(now);
		return changed;
	}

	/**
	Notes that a control instance does not answer: what it said of servers counts again once it does.

	@param source The control instance.
	*/
	loseSource(source: InstanceId): void {
		this.#standings.lose(source);
	}

	/**
	Chooses a server.

	@param options What is wanted.
	@returns The server, or undefined where none takes work.
	*/
	find({service, isWanted, excluded, subject, now}: FindServerOptions): ServerRecord | undefined {
		const views: ServerView[] = [];
		for (const held of this.#servers.values()) {
			if (held.record.service !== service || held.record.state !== 'ready' || !isWanted(held.record.version)) {
				continue;
			}

			views.push(this.#viewOf(held, now));
		}

		const wish = {
			target: service, excluded, zone: this.#options.zone, random: this.#options.random, zonePenalty, samples, loadBound,
			prefix: subject === undefined ? undefined : prefixHash(subject.name),
			homeScope: subject?.homeScope ?? 'none',
		};
		// Where every server is suspect, a suspect one is better than none.
		const choice = chooseServer(views, wish).altLazy(() => chooseServer(views.map(view => ({...view, expired: false, ejected: false})), wish));
		return choice.map(({server}) => this.#servers.get(server)?.record).toMaybe().extractNullable() ?? undefined;
	}

	/** The work of this instance at each server that has any. */
	get loads(): LoadMessage['loads'] {
		const loads: Array<readonly [ServerId, number]> = [];
		for (const [id, {inFlight, work}] of this.#servers) {
			if (inFlight > 0) {
				loads.push([id, work]);
			}
		}

		return loads;
	}

	/**
	Counts a request that is sent to a server.

	@param id The server.
	@param work Its work until its answer begins, in units of a short request.
	@returns Counts what is left of it.
	*/
	begin(id: ServerId, work: number): SendLoad {
		return this.#servers.get(id)?.begin(work) ?? unknownLoad;
	}

	/**
	Notes that something came from a server.

	@param id The server.
	@param now Milliseconds on the monotonic clock.
	*/
	hear(id: ServerId, now: number): void {
		const held = this.#servers.get(id);
		if (held !== undefined) {
			held.heardAt = now;
			this.#zones.heard(held.record.zone);
		}
	}

	/**
	When anything came from a server last.

	@param id The server.
	@returns Milliseconds on the monotonic clock; 0 for never.
	*/
	heardAt(id: ServerId): number {
		return this.#servers.get(id)?.heardAt ?? 0;
	}

	/**
	Tells whether a record is of the process that is known now: how a send to a former one ended says nothing of the next.

	@param server The record.
	@returns Whether no later process of the server is known.
	*/
	isCurrent(server: ServerRecord): boolean {
		const held = this.#servers.get(server.id);
		return held !== undefined && compareStarts(held.record, server) === 0;
	}

	/**
	Tells what is known of the process of a record.

	@param server The record.
	@returns Its state; `draining` also where it has ended since.
	*/
	processStateOf(server: ServerRecord): ProcessState {
		return this.#servers.get(server.id)?.stateOf(server) ?? 'unknown';
	}

	/**
	Learns how a send ended.

	@param id The server.
	@param result What it came to.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the server gets no work for a while from now on.
	*/
	record(id: ServerId, result: SendResult, now: number): boolean {
		const held = this.#servers.get(id);
		if (held === undefined) {
			return false;
		}

		if (result === 'gone') {
			held.noteEnd(now);
			return true;
		}

		if (result === 'unreachable' || result === 'ended') {
			held.avoidUntil = now + Math.min(longestAvoidMilliseconds, firstAvoidMilliseconds * (2 ** held.unreachable));
			held.unreachable++;
			if (result === 'unreachable') {
				this.#zones.unreachable(held.record.zone, {server: id, now});
			}

			return true;
		}

		held.unreachable = 0;
		return this.#ejection.record(id, {failed: result === 'failed', now, servers: this.#countOf(held.record.service)});
	}

	/** Takes a process that was not known, and drops what is known of the one before it, under its id or at its address. */
	#join(record: ServerRecord, {source, now}: {readonly source: InstanceId; readonly now: number}): void {
		for (const [id, former] of this.#servers) {
			if (id === record.id || hasReplaced(record, former.record)) {
				former.noteEnd(now);
				this.#drop(former);
			}
		}

		this.#standings.forget(record.id);
		this.#standings.tell(record.id, {source, isSilent: record.isSilent});
		this.#servers.set(record.id, new HeldServer(record, {
			now,
			onWork: change => {
				this.#options.share.noteChange(change);
			},
		}));
	}

	/** Takes a further record of a process that is known; tells whether its state is new. */
	#update(held: HeldServer, record: ServerRecord, {source, now}: {readonly source: InstanceId; readonly now: number}): boolean {
		held.toldAt = now;
		if (compareStarts(record, held.record) < 0) {
			return false;
		}

		this.#standings.tell(record.id, {source, isSilent: record.isSilent});
		const {state} = held.record;
		if (isGraver(state, record.state)) {
			this.#options.onOutdated?.(record, {held: held.record, source});
		}

		held.isLeaving ||= record.state === 'draining';
		held.record = mergeServerRecord(held.record, record);
		return held.record.state !== state;
	}

	/** Drops what is believed of a process that has ended: suspicion, loads of peers, kept connections, sends in progress. */
	#drop(held: HeldServer): void {
		const {id, zone} = held.record;
		this.#ejection.forget(id);
		this.#zones.forget(zone, id);
		this.#options.share.forget(id);
		this.#options.onReplaced(held.record);
		held.endProcess();
	}

	#viewOf(held: HeldServer, now: number): ServerView {
		const {zone, share} = this.#options;
		const {id, zone: serverZone} = held.record;
		return held.view({
			now,
			othersLoad: share.othersOn(id),
			isSilent: this.#standings.of(id) === 'silent',
			isBehindCut: serverZone !== zone && this.#zones.isSuspect(serverZone, now),
			isEjected: this.#ejection.isEjected(id, now),
		});
	}

	#countOf(service: ServiceId): number {
		let count = 0;
		for (const {record} of this.#servers.values()) {
			count += record.service === service && record.state === 'ready' ? 1 : 0;
		}

		return count;
	}

	#forget(now: number): void {
		for (const [id, held] of this.#servers) {
			const untold = now - held.toldAt;
			const isOver = held.record.state === 'gone'
				? untold > forgetEndedMilliseconds
				: untold > forgetSilentMilliseconds && !this.#standings.isHeldByAny(id);
			if (isOver && held.inFlight === 0) {
				this.#servers.delete(id);
				this.#standings.forget(id);
			}
		}
	}
}
