import {
	type InstanceId, type ServerId, type ServiceId,
} from '@valehitch/core';
import {
	chooseServer, OutlierEjection, type PoolPicture, prefixHash, type ServerChoiceOptions, type ServerCriteria, type ServerSpeed, type SpeedSample, ZoneFailureDetector,
} from '@valehitch/routing';
import {type LoadMessage} from '../control/peer-message.js';
import {compareStartTimes} from '../servers/compare-start-times.js';
import {type Evacuations} from '../servers/evacuations.js';
import {hasReplaced} from '../servers/has-replaced.js';
import {describeServer, type ServerBelief} from '../inspection/describe-server.js';
import {noteChoice} from '../inspection/note-choice.js';
import {isLaterState} from '../servers/is-later-state.js';
import {mergeServerRecord} from '../servers/merge-server-record.js';
import {ServerAddresses} from '../servers/server-addresses.js';
import {defaultRetentionMilliseconds} from '../servers/server-directory.js';
import {type ServerRecord} from '../servers/server-record.js';
import {
	type ApplyRecordsOptions, type BeginSendOptions, type EntryServersOptions, type SendResult,
} from './entry-servers-options.js';
import {type FindServerOptions} from './find-server-options.js';
import {KnownEvacuations} from './known-evacuations.js';
import {
	TrackedServer, type ServerLoad, type ProcessState, type SendLoad, type ServerConditions, noOpLoad,
} from './tracked-server.js';
import {SendLimits} from './send-limits.js';
import {ServerAvailability} from './server-availability.js';
import {ServerLivenessTable} from './server-liveness-table.js';
import {ServerSpeeds} from './server-speeds.js';

type ConditionsOptions = {
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** The age of the load of the other entry instances, in milliseconds. */
	readonly othersAge: number | undefined;
	/** The speeds of the servers; by default none is known. */
	readonly speeds?: ReadonlyMap<ServerId, ServerSpeed>;
	/** Whether the load of the server counts by the prompts that wait there. */
	readonly countsPrompts: boolean;
};

/** The maximum load of a server relative to the mean load. Engines batch requests, so even twice the mean load costs less than processing a prompt without its cached prefix. */
const loadBound = 1.5;
/** The number of servers that are sampled and compared. Since the loads of all instances are known, a larger sample costs only the comparison. */
const sampleCount = 4;
/** The load that arrives at a server in a millisecond at most: a busy server processes one unit in 100 ms, and in a burst three times as much arrives. */
const arrivalRate = 0.03;
/** The work of prompts that arrives at a server of mean speed in a millisecond, in units of load, where load counts by that work: as much as it can process, since more does not arrive for long. */
const promptArrivalRate = 0.01;
/** How much busier the local zone must be, as a share of its slots, before servers of another zone are used. */
const zonePenalty = 0.1;
/** The backoff after a failed connection; doubles with each further failure up to the maximum. */
const initialBackoffMilliseconds = 500;
const maximumBackoffMilliseconds = 8000;
/** The shutdown of a server is remembered for longer than a control instance that missed it keeps reporting the server. */
const forgetStoppingMilliseconds = 2 * defaultRetentionMilliseconds;
/** Silent servers are forgotten here before the control instances forget them, so that the end of a server still reaches every instance that has a record of it. */
const forgetSilentMilliseconds = defaultRetentionMilliseconds / 2;

/**
The backend servers known to an entry instance: the state that control instances report, the instance's own requests in flight, and the results of its sends.

@example
```ts
const servers = new EntryServers({zone, random, loads, onReplaced});
servers.applyRecords(records, {source, now});
servers.choose({service, isAcceptable: () => true, excluded: new Set(), promptKey: undefined, now});
```
*/
export class EntryServers {
	/** What servers tolerate of this instance's sends. */
	readonly limits: SendLimits;
	/** Which servers may get requests at all. */
	readonly availability: ServerAvailability;
	readonly #options: EntryServersOptions;
	readonly #servers = new Map<ServerId, TrackedServer>();
	readonly #addresses = new ServerAddresses();
	readonly #ejection = new OutlierEjection({
		threshold: 0.5, baseMilliseconds: 2000, maximumMilliseconds: 8000, maximumShare: 0.4,
	});

	readonly #zones = new ZoneFailureDetector();
	readonly #liveness = new ServerLivenessTable();
	readonly #evacuations = new KnownEvacuations();
	readonly #speeds: ServerSpeeds;

	constructor(options: EntryServersOptions) {
		this.#options = options;
		this.#speeds = new ServerSpeeds(options.loads);
		const {startedAt = 0, coldDurationOf, placesOf} = options;
		this.limits = new SendLimits({startedAt, coldDurationOf, placesOf});
		this.availability = new ServerAvailability({servers: this.#servers, evacuations: this.#evacuations, limits: this.limits});
	}

	/**
	Applies records of a control instance.

	@param records The changed records.
	@param options The control instance, the time, and whether the records are its full state.
	@returns The records that were added or whose state changed.
	*/
	applyRecords(records: readonly ServerRecord[], {source, now, isFullState = false}: ApplyRecordsOptions): readonly ServerRecord[] {
		this.#liveness.markResponsive(source, {isFullState});
		const changed: ServerRecord[] = [];
		for (const record of records) {
			const tracked = this.#servers.get(record.id);
			if (tracked === undefined || compareStartTimes(record, tracked.record) > 0) {
				this.#add(record, {source, now});
				changed.push(record);
			} else if (this.#update(tracked, record, {source, now})) {
				changed.push(tracked.record);
			}
		}

		this.#removeExpired(now);
		return changed;
	}

	/**
	Forgets the failed connections to the servers of a service, because they were the fault of this instance's own links.

	@param service The service.
	*/
	forgetConnectionFailures(service: ServiceId): void {
		for (const tracked of this.#servers.values()) {
			if (tracked.record.service !== service) {
				continue;
			}

			tracked.backoffUntil = 0;
			tracked.connectionFailures = 0;
			this.#zones.recordContact(tracked.record.zone);
		}
	}

	/** The known evacuations. */
	get evacuations(): Pick<KnownEvacuations, 'revision' | 'zones'> {
		return this.#evacuations;
	}

	/**
	Applies the evacuations that a control instance reports, unless they are older than the known ones.

	@param evacuations The evacuations.
	@param now Milliseconds on the monotonic clock.
	@returns Whether they are newer.
	*/
	applyEvacuations(evacuations: Evacuations, now: number): boolean {
		const ended = this.#evacuations.update(evacuations);
		if (ended === undefined) {
			return false;
		}

		const {coldDurationOf, heartbeatMilliseconds = 0} = this.#options;
		for (const {record, cold} of this.#servers.values()) {
			if (ended.has(record.zone)) {
				cold.require({until: now + (coldDurationOf?.(record.service) ?? 0), confirmedFrom: now + heartbeatMilliseconds});
			}
		}

		return true;
	}

	/**
	Records that a control instance is not responding. Its reports are ignored until it responds again.

	@param source The control instance.
	*/
	markSourceLost(source: InstanceId): void {
		this.#liveness.markUnresponsive(source);
	}

	/**
	Chooses a server.

	@param options The criteria.
	@returns The server, or undefined if none is available.
	*/
	choose({service, isAcceptable, excluded, promptKey, load, now, noted}: FindServerOptions): ServerRecord | undefined {
		const candidates: TrackedServer[] = [];
		for (const tracked of this.#servers.values()) {
			if (tracked.record.service !== service || tracked.record.state !== 'ready' || !isAcceptable(tracked.record.version)) {
				continue;
			}

			candidates.push(tracked);
		}

		const speeds = this.#speeds.speedsOf(candidates.map(({record}) => record.id), now);
		const {othersAge} = this.#options.loads;
		const countsPrompts = this.#countsPrompts(service);
		const views = candidates.map(tracked => tracked.view(this.#conditionsOf(tracked, {
			now, othersAge, speeds, countsPrompts,
		})));

		const criteria: ServerCriteria & ServerChoiceOptions = {
			target: service, excluded, evacuatedZones: this.#evacuations.zones, zone: this.#options.zone, random: this.#options.random, zonePenalty, sampleCount, loadBound,
			reportDecayMilliseconds: Number.POSITIVE_INFINITY,
			arrivalRate: countsPrompts ? promptArrivalRate : arrivalRate,
			prefix: promptKey === undefined ? undefined : prefixHash(promptKey.name),
			affinityScope: promptKey?.affinityScope ?? 'none',
			...(speeds.size > 0 && load !== undefined && {requestLoad: load}),
		};
		// If every server is expired or ejected, use one of them rather than none.
		const choice = chooseServer(views, criteria).altLazy(() => chooseServer(views.map(view => ({...view, expired: false, ejected: false})), criteria));
		if (noted !== undefined && this.#options.notes !== undefined) {
			noteChoice(this.#options.notes, {choice, noted, now});
		}

		return choice.map(({server}) => this.#servers.get(server)?.record).toMaybe().extractNullable() ?? undefined;
	}

	/**
	Returns what is believed of each server.

	@param now Milliseconds on the monotonic clock.
	@param picture The work of all entry instances, if it is known.
	@returns The beliefs.
	*/
	beliefs(now: number, picture?: PoolPicture): readonly ServerBelief[] {
		const {loads} = this.#options;
		return [...this.#servers.values()].map(tracked => {
			const {id, service} = tracked.record;
			const conditions = this.#conditionsOf(tracked, {now, othersAge: loads.othersAge, countsPrompts: this.#countsPrompts(service)});
			return describeServer(tracked, {
				conditions, othersLoad: loads.peerLoadAt(id), evacuatedZones: this.#evacuations.zones, picture,
			});
		});
	}

	/** The load of this instance at each server where it has requests in flight. */
	get loads(): LoadMessage['loads'] {
		const loads: Array<readonly [ServerId, number]> = [];
		for (const [id, {inFlight, load}] of this.#servers) {
			if (inFlight > 0) {
				loads.push([id, load]);
			}
		}

		return loads;
	}

	/** The requests of this instance in flight at each known server. */
	get ownLoads(): Iterable<readonly [ServerId, ServerLoad]> {
		return this.#servers;
	}

	/**
	Returns the requests of this instance in flight at a server.

	@param id The server.
	@returns The requests; undefined if the server is unknown.
	*/
	ownLoadAt(id: ServerId): ServerLoad | undefined {
		return this.#servers.get(id);
	}

	/**
	Counts a request sent to a server.

	@param id The server.
	@param send The load of the request, and the time.
	@returns The load of the send, to be reduced as the request progresses.
	*/
	beginSend(id: ServerId, {load, reading, now}: BeginSendOptions): SendLoad {
		const tracked = this.#servers.get(id);
		if (tracked === undefined) {
			return noOpLoad;
		}

		this.limits.countSend(tracked, now);
		tracked.recordSend(now);
		return tracked.beginSend(load, reading);
	}

	/**
	Returns the time to the first event that a server of mean speed would take for a prompt with the work that now waits at a server.

	@param id The server.
	@param calm The time at an idle server of mean speed, in milliseconds; undefined if it is not known.
	@returns Milliseconds; undefined if it cannot be told.
	*/
	expectedFirstEvent(id: ServerId, calm: number | undefined): number | undefined {
		return calm === undefined ? undefined : this.#speeds.expectedFirstEvent(id, calm);
	}

	/**
	Records the times to the first event of an answer, by which the speed of its server is estimated.

	@param id The server.
	@param sample The observed and expected times.
	@param now Milliseconds on the monotonic clock.
	*/
	recordFirstEvent(id: ServerId, sample: SpeedSample, now: number): void {
		this.#speeds.record(id, {...sample, now});
	}

	/**
	Records that data was received from a server.

	@param id The server.
	@param now Milliseconds on the monotonic clock.
	*/
	recordData(id: ServerId, now: number): void {
		const tracked = this.#servers.get(id);
		if (tracked !== undefined) {
			tracked.recordData(now);
			this.#zones.recordContact(tracked.record.zone);
		}
	}

	/**
	Returns when data was last received from a server.

	@param id The server.
	@returns Milliseconds on the monotonic clock; 0 if no data was received yet.
	*/
	heardAt(id: ServerId): number {
		return this.#servers.get(id)?.heardAt ?? 0;
	}

	/**
	Checks whether anything but its own silence says that a server is gone or out of reach: its heartbeats are missing, connections to it fail, or its zone appears to be partitioned.

	@param server The server.
	@param now Milliseconds on the monotonic clock.
	@returns Whether that is so; true if it is not known.
	*/
	isInDoubt({id, zone}: ServerRecord, now: number): boolean {
		const tracked = this.#servers.get(id);
		const isZoneSuspect = zone !== this.#options.zone && this.#zones.isSuspect(zone, now);
		return tracked === undefined || tracked.backoffUntil > now || isZoneSuspect || this.#liveness.of(id) === 'silent';
	}

	/**
	Checks whether a record belongs to the current process of its server. The result of a send to an earlier process says nothing about the current one.

	@param server The record.
	@returns Whether the record belongs to the latest known process.
	*/
	isCurrent(server: ServerRecord): boolean {
		const tracked = this.#servers.get(server.id);
		return tracked !== undefined && compareStartTimes(tracked.record, server) === 0;
	}

	/**
	Returns the state of the process of a record.

	@param server The record.
	@returns The state; a process that drained before it ended remains `draining`.
	*/
	processStateOf(server: ServerRecord): ProcessState {
		return this.#servers.get(server.id)?.stateOf(server) ?? 'unknown';
	}

	/**
	Records that a server has announced its shutdown in an answer. Announcements that still call it ready do not change that.

	@param id The server.
	@returns Whether it was ready before.
	*/
	markDraining(id: ServerId): boolean {
		const tracked = this.#servers.get(id);
		if (tracked?.record.state !== 'ready') {
			return false;
		}

		tracked.markDraining();
		return true;
	}

	/**
	Records the result of a send.

	@param id The server.
	@param result The result.
	@param now Milliseconds on the monotonic clock.
	@returns Whether the server is now excluded for some time.
	*/
	recordResult(id: ServerId, result: SendResult, now: number): boolean {
		const tracked = this.#servers.get(id);
		if (tracked === undefined) {
			return false;
		}

		if (result === 'gone') {
			tracked.markEnded(now);
			return true;
		}

		if (result === 'silent') {
			tracked.recordSilence(now);
			return true;
		}

		if (result === 'unreachable' || result === 'ended') {
			tracked.backoffUntil = now + Math.min(maximumBackoffMilliseconds, initialBackoffMilliseconds * (2 ** tracked.connectionFailures));
			tracked.connectionFailures++;
			if (result === 'unreachable') {
				this.#zones.recordUnreachable(tracked.record.zone, {server: id, now});
			}

			return true;
		}

		if (result === 'answered') {
			// The end of an answer may be all that it has sent since a silence.
			tracked.recordData(now);
		}

		tracked.connectionFailures = 0;
		return this.#ejection.record(id, {failed: result === 'failed', now, servers: this.availability.countReady(tracked.record.service)});
	}

	/** Adds a new process, and discards the state of the process that it replaces, which has the same id or address. */
	#add(record: ServerRecord, {source, now}: {readonly source: InstanceId; readonly now: number}): void {
		for (const id of new Set([record.id, ...this.#addresses.at(record)])) {
			const previous = this.#servers.get(id);
			if (previous !== undefined && (id === record.id || hasReplaced(record, previous.record))) {
				previous.markEnded(now);
				this.#discardState(previous);
			}
		}

		this.#addresses.replace(this.#servers.get(record.id)?.record, record);
		this.#liveness.removeServer(record.id);
		this.#liveness.report(record.id, {source, isSilent: record.isSilent});
		this.#servers.set(record.id, new TrackedServer(record, {
			now,
			onLoadChange: change => {
				this.#options.loads.recordChange(change);
			},
		}));
	}

	/** Applies a record to a known process; returns whether its state changed. */
	#update(tracked: TrackedServer, record: ServerRecord, {source, now}: {readonly source: InstanceId; readonly now: number}): boolean {
		tracked.reportedAt = now;
		if (compareStartTimes(record, tracked.record) === 0) {
			tracked.cold.apply(record, now);
		}

		if (compareStartTimes(record, tracked.record) < 0) {
			return false;
		}

		this.#liveness.report(record.id, {source, isSilent: record.isSilent});
		const {state} = tracked.record;
		if (isLaterState(state, record.state)) {
			this.#options.onOutdated?.(record, {held: tracked.record, source});
		}

		tracked.wasDraining ||= record.state === 'draining';
		const merged = mergeServerRecord(tracked.record, record);
		this.#addresses.replace(tracked.record, merged);
		tracked.record = merged;
		return tracked.record.state !== state;
	}

	/** Discards the state of a process that was replaced: outlier and zone statistics, loads of peers, idle connections, and sends in progress. A process that drains may still answer these, though a later one has its id, or listens at its address. */
	#discardState(tracked: TrackedServer): void {
		const {id, zone} = tracked.record;
		this.#ejection.forget(id);
		this.limits.removeServer(id);
		this.#speeds.forget(id);
		this.#zones.forgetServer(zone, id);
		this.#options.loads.discardServer(id);
		this.#options.onReplaced(tracked.record);
		if (!tracked.wasDraining) {
			tracked.abortSends();
		}
	}

	#conditionsOf(tracked: TrackedServer, {now, othersAge, speeds, countsPrompts}: ConditionsOptions): ServerConditions {
		const {zone, loads} = this.#options;
		const {id, zone: serverZone} = tracked.record;
		const work = countsPrompts ? loads.workAt?.(id) : undefined;
		return {
			now,
			othersLoad: work === undefined ? loads.peerLoadAt(id) : 0,
			othersAge,
			isSilent: this.#liveness.of(id) === 'silent',
			isZoneUnreachable: serverZone !== zone && this.#zones.isSuspect(serverZone, now),
			isEjected: this.#ejection.isEjected(id, now),
			isRateLimited: this.limits.isRateLimited(tracked, now) || this.limits.isFull(tracked),
			isPaused: !this.limits.pauses.allows(id, now),
			speed: speeds?.get(id),
			work,
		};
	}

	/** Checks whether load counts by the prompts that wait; plain requests have none, and no times by which a busy server would show as slow. */
	#countsPrompts(service: ServiceId): boolean {
		const {loads, hasPrompts} = this.#options;
		return loads.usesDigest === true && hasPrompts?.(service) !== false;
	}

	#removeExpired(now: number): void {
		for (const [id, tracked] of this.#servers) {
			const unreportedFor = now - tracked.reportedAt;
			const isExpired = tracked.record.state === 'ready'
				? unreportedFor > forgetSilentMilliseconds && !this.#liveness.isReportedAlive(id)
				: unreportedFor > forgetStoppingMilliseconds;
			if (isExpired && tracked.inFlight === 0) {
				this.#servers.delete(id);
				this.#addresses.remove(tracked.record);
				this.limits.removeServer(id);
				this.#speeds.forget(id);
				this.#liveness.removeServer(id);
			}
		}
	}
}
