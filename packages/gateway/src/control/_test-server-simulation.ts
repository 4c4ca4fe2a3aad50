import {
	type InstanceId, type ServerId, type ZoneId,
} from '@valehitch/core';
import {EntryServers} from '../entry/entry-servers.js';
import {testServer} from '../servers/_test-server.js';
import {type ServerRecord, type ServerState} from '../servers/server-record.js';
import {startTestControlServices, type TestControlServices} from './_test-control-node.js';
import {type PeerMessage, type WatchMessage, type WatchReply} from './peer-message.js';

const stepMilliseconds = 1000;
const pollTimeoutMilliseconds = 1400;
/** The longest time by which an announcement may be delayed. */
const maximumDelayMilliseconds = 10_000;
const zone = 'hall-a' as ZoneId;

type SimulatedEntry = {
	readonly servers: EntryServers;
	readonly positions: Map<InstanceId, {run: string; cursor: number}>;
	/** Callbacks that end the requests in progress, by server. */
	readonly loads: Map<ServerId, () => void>;
	/** The servers that were reported to this instance as stopping or stopped. */
	readonly notifiedServers: Set<ServerId>;
};

type EntryReply = {
	readonly entry: number;
	readonly source: InstanceId;
	readonly reply: WatchReply;
};

type DelayedReply = EntryReply & {
	readonly askedAt: number;
};

type SimulationSize = {
	readonly controls: number;
	readonly entries: number;
	readonly servers: readonly ServerId[];
};

/** A simulation of control instances, entry instances and backend servers, whose clock and network links are controlled by the test. */
export class ServerSimulation {
	readonly controls: readonly InstanceId[];
	/** The servers whose shutdown notice was acknowledged, with the time of the notice. */
	readonly departures = new Map<ServerId, number>();
	now = 1000;
	readonly #controls = new Map<InstanceId, TestControlServices>();
	readonly #entries: SimulatedEntry[] = [];
	readonly #partitions = new Set<string>();
	readonly #saved = new Map<InstanceId, readonly ServerRecord[]>();
	readonly #sequences = new Map<ServerId, number>();
	/** The control instance to which each server announces itself. */
	readonly #homeInstances = new Map<ServerId, InstanceId>();
	#runs = 0;
	readonly #delayedReplies: DelayedReply[] = [];

	constructor({controls, entries, servers}: SimulationSize) {
		this.controls = Array.from({length: controls}, (_, index) => `10.0.0.${index + 1}` as InstanceId);
		for (const control of this.controls) {
			this.#start(control);
		}

		for (let index = 0; index < entries; index++) {
			this.addEntry();
		}

		for (const [index, server] of servers.entries()) {
			this.#homeInstances.set(server, this.controls[index % controls]!);
		}
	}

	/** Adds an entry instance without any state, and returns its index. */
	addEntry(): number {
		return this.#entries.push({
			servers: new EntryServers({
				zone, random: () => 0.5, loads: {peerLoadAt: () => 0, recordChange: doNothing, discardServer: doNothing}, onReplaced: doNothing,
			}),
			positions: new Map(),
			loads: new Map(),
			notifiedServers: new Set(),
		}) - 1;
	}

	/** Whether an entry instance was notified that a server is stopping. */
	wasNotified(entry: number, server: ServerId): boolean {
		return this.#entries[entry]!.notifiedServers.has(server);
	}

	/** Whether an entry instance would select a server if it were the only one. */
	canSelect(entry: number, server: ServerId): boolean {
		const others = [...this.#homeInstances.keys()].filter(other => other !== server);
		const found = this.#entries[entry]!.servers.choose({
			service: testServer().service, isAcceptable: () => true, excluded: new Set(others), promptKey: undefined, now: this.now,
		});
		return found !== undefined;
	}

	/** Announces a server. After its shutdown notice only delayed announcements, sent with `isLate`, are possible. */
	async announce(control: InstanceId, server: ServerId, {state = 'ready', isLate = false}: {readonly state?: ServerState; readonly isLate?: boolean} = {}): Promise<void> {
		const departedAt = this.departures.get(server);
		const isPossible = state !== 'ready' || departedAt === undefined || (isLate && this.now - departedAt <= maximumDelayMilliseconds);
		if (!isPossible) {
			return;
		}

		const sequence = (this.#sequences.get(server) ?? 0) + (isLate ? 0 : 1);
		this.#sequences.set(server, sequence);
		await this.#controls.get(control)!.news.announce(testServer({id: server, sequence, state}));
		if (state !== 'ready') {
			this.#recordDeparture(server);
		}
	}

	/** Sends the notice that a server is stopping. */
	async end(control: InstanceId, server: ServerId): Promise<void> {
		await this.#controls.get(control)!.news.remove(server);
		this.#recordDeparture(server);
	}

	/** Starts a request to a server, or ends the one in progress. */
	toggleRequest(entry: number, server: ServerId): void {
		const {servers, loads} = this.#entries[entry]!;
		const end = loads.get(server);
		if (end === undefined) {
			loads.set(server, servers.beginSend(server, {load: 1, now: 0}).end);
		} else {
			loads.delete(server);
			end();
		}
	}

	partition(one: string, other: string): void {
		this.#partitions.add(`${one} ${other}`).add(`${other} ${one}`);
	}

	/** Heals all network partitions. */
	heal(): void {
		this.#partitions.clear();
	}

	/** Restarts a control instance after it has saved its state. */
	async restart(control: InstanceId): Promise<void> {
		await this.#controls.get(control)!.news.save();
		this.#start(control);
		await runPendingTasks();
	}

	/** Polls a control instance from an entry instance; the reply may be delayed. */
	async poll(entry: number, control: InstanceId, {isLate = false}: {readonly isLate?: boolean} = {}): Promise<void> {
		const {servers, positions} = this.#entries[entry]!;
		if (this.#isPartitioned(`entry-${entry}`, control)) {
			servers.markSourceLost(control);
			return;
		}

		const position = positions.get(control) ?? {run: '', cursor: 0};
		const message: WatchMessage = {
			type: 'watch', isUrgent: true, zone, configurationVersion: undefined, ...position, suspectCursor: 0, rolloutDigest: '', evidence: [],
		};
		const reply = await this.#controls.get(control)!.watches.answer(`entry-${entry}` as InstanceId, message);
		if (isLate) {
			this.#delayedReplies.push({
				entry, source: control, reply, askedAt: this.now,
			});
		} else {
			this.#deliver({entry, source: control, reply});
		}
	}

	/** Delivers the delayed replies, except those whose poll has timed out. */
	deliverDelayed(): void {
		for (const {askedAt, ...reply} of this.#delayedReplies.splice(0)) {
			if (this.now - askedAt <= pollTimeoutMilliseconds) {
				this.#deliver(reply);
			}
		}
	}

	/** Makes a server announce itself to another control instance from now on. */
	move(server: ServerId, control: InstanceId): void {
		this.#homeInstances.set(server, control);
	}

	/** Advances the clock, running the announcements of servers, the synchronization rounds and the polls of entry instances. */
	async advance(milliseconds: number): Promise<void> {
		for (let elapsed = 0; elapsed < milliseconds; elapsed += stepMilliseconds) {
			this.now += stepMilliseconds;
			for (const [server, control] of this.#homeInstances) {
				await this.announce(control, server);
			}

			for (const {news} of this.#controls.values()) {
				news.runSyncRound();
				await news.save();
			}

			await runPendingTasks();
			await this.pollAll();
		}
	}

	/** Polls each control instance from each entry instance. */
	async pollAll(): Promise<void> {
		for (const entry of this.#entries.keys()) {
			for (const control of this.controls) {
				await this.poll(entry, control);
			}
		}
	}

	/** Stops the timers. */
	stop(): void {
		for (const {news} of this.#controls.values()) {
			news.stop();
		}
	}

	#recordDeparture(server: ServerId): void {
		this.departures.set(server, this.departures.get(server) ?? this.now);
	}

	#deliver({entry, source, reply}: EntryReply): void {
		const {servers, positions, notifiedServers} = this.#entries[entry]!;
		const isWhole = positions.get(source)?.run !== reply.run;
		positions.set(source, {run: reply.run, cursor: reply.cursor});
		servers.applyRecords(reply.records, {source, now: this.now, isFullState: isWhole});
		for (const {id, state} of reply.records) {
			if (state !== 'ready') {
				notifiedServers.add(id);
			}
		}
	}

	#start(control: InstanceId): void {
		const services = startTestControlServices({
			run: `run-${++this.#runs}`,
			clock: {now: () => new Date(this.now), monotonic: () => this.now},
			others: () => this.controls.filter(other => other !== control),
			ask: async (to, message) => this.#isPartitioned(control, to) ? undefined : this.#answer(to, message),
			saved: {
				read: async () => this.#saved.get(control) ?? [],
				write: async records => {
					this.#saved.set(control, records);
					return true;
				},
			},
		});
		this.#controls.set(control, services);
	}

	async #answer(to: InstanceId, message: PeerMessage): Promise<unknown> {
		const control = this.#controls.get(to);
		if (control === undefined) {
			return undefined;
		}

		const {run, news} = control;
		if (message.type === 'servers') {
			news.receive(message);
			return {run};
		}

		if (message.type === 'server-ended') {
			news.markEnded(message.server);
			return true;
		}

		return message.type === 'all-servers' ? news.allServersReply : undefined;
	}

	#isPartitioned(one: string, other: string): boolean {
		return this.#partitions.has(`${one} ${other}`);
	}
}

function doNothing(): void {
	// Notifications are not needed.
}

async function runPendingTasks(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
