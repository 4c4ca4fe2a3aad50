import {
	type InstanceId, type ServerId, type ZoneId,
} from '@valehitch/core';
import {EntryServers} from '../entry/entry-servers.js';
import {testServer} from '../servers/_test-server.js';
import {type ServerRecord, type ServerState} from '../servers/server-record.js';
import {startTestControl, type TestControl} from './_test-control-node.js';
import {type PeerMessage, type WatchMessage, type WatchReply} from './peer-message.js';

const roundMilliseconds = 1000;
const questionMilliseconds = 1400;
/** An announcement may come this long after it was sent. */
const latestMilliseconds = 10_000;
const zone = 'hall-a' as ZoneId;

type Entry = {
	readonly servers: EntryServers;
	readonly positions: Map<InstanceId, {run: string; cursor: number}>;
	/** Ends the sends in progress, by server. */
	readonly loads: Map<ServerId, () => void>;
	/** The servers that it was told to leave, by the end that it learned. */
	readonly told: Set<ServerId>;
};

type TakenReply = {
	readonly entry: number;
	readonly source: InstanceId;
	readonly reply: WatchReply;
};

type LateReply = TakenReply & {
	readonly askedAt: number;
};

type WorldSize = {
	readonly controls: number;
	readonly entries: number;
	readonly servers: readonly ServerId[];
};

/** Control instances, entry instances and backend servers, with a clock and links that a test moves. */
export class ServerWorld {
	readonly controls: readonly InstanceId[];
	/** The servers whose notice to leave was acknowledged, with the time of the notice. */
	readonly left = new Map<ServerId, number>();
	now = 1000;
	readonly #controls = new Map<InstanceId, TestControl>();
	readonly #entries: Entry[] = [];
	readonly #cuts = new Set<string>();
	readonly #saved = new Map<InstanceId, readonly ServerRecord[]>();
	readonly #sequences = new Map<ServerId, number>();
	/** The control instance that each server announces itself to. */
	readonly #homes = new Map<ServerId, InstanceId>();
	#runs = 0;
	readonly #lateReplies: LateReply[] = [];

	constructor({controls, entries, servers}: WorldSize) {
		this.controls = Array.from({length: controls}, (_, index) => `10.0.0.${index + 1}` as InstanceId);
		for (const control of this.controls) {
			this.#start(control);
		}

		for (let index = 0; index < entries; index++) {
			this.addEntry();
		}

		for (const [index, server] of servers.entries()) {
			this.#homes.set(server, this.controls[index % controls]!);
		}
	}

	/** Adds an entry instance that knows nothing; gives its number. */
	addEntry(): number {
		return this.#entries.push({
			servers: new EntryServers({
				zone, random: () => 0.5, share: {othersOn: () => 0, noteChange: ignore, forget: ignore}, onReplaced: ignore,
			}),
			positions: new Map(),
			loads: new Map(),
			told: new Set(),
		}) - 1;
	}

	/** Whether an entry instance was told that a server leaves. */
	wasTold(entry: number, server: ServerId): boolean {
		return this.#entries[entry]!.told.has(server);
	}

	/** Whether an entry instance would choose a server, were there no other. */
	mayChoose(entry: number, server: ServerId): boolean {
		const others = [...this.#homes.keys()].filter(other => other !== server);
		const found = this.#entries[entry]!.servers.find({
			service: testServer().service, isWanted: () => true, excluded: new Set(others), subject: undefined, now: this.now,
		});
		return found !== undefined;
	}

	/** Has a server announce itself; one that has left says nothing but what was under way, as `late`. */
	async announce(control: InstanceId, server: ServerId, {state = 'ready', isLate = false}: {readonly state?: ServerState; readonly isLate?: boolean} = {}): Promise<void> {
		const leftAt = this.left.get(server);
		const isPossible = state !== 'ready' || leftAt === undefined || (isLate && this.now - leftAt <= latestMilliseconds);
		if (!isPossible) {
			return;
		}

		const sequence = (this.#sequences.get(server) ?? 0) + (isLate ? 0 : 1);
		this.#sequences.set(server, sequence);
		await this.#controls.get(control)!.news.announce(testServer({id: server, sequence, state}));
		if (state !== 'ready') {
			this.#leave(server);
		}
	}

	/** Has a server tell that it ends. */
	async end(control: InstanceId, server: ServerId): Promise<void> {
		await this.#controls.get(control)!.news.remove(server);
		this.#leave(server);
	}

	/** Begins a send, or ends it where there is one. */
	toggleSend(entry: number, server: ServerId): void {
		const {servers, loads} = this.#entries[entry]!;
		const end = loads.get(server);
		if (end === undefined) {
			loads.set(server, servers.begin(server, 1).end);
		} else {
			loads.delete(server);
			end();
		}
	}

	cut(one: string, other: string): void {
		this.#cuts.add(`${one} ${other}`).add(`${other} ${one}`);
	}

	/** Ends all cuts. */
	heal(): void {
		this.#cuts.clear();
	}

	/** Ends a control instance once it has saved what it knows, and starts it again. */
	async restart(control: InstanceId): Promise<void> {
		await this.#controls.get(control)!.news.save();
		this.#start(control);
		await settled();
	}

	/** Lets an entry instance ask a control instance; the reply may come later. */
	async ask(entry: number, control: InstanceId, {isLate = false}: {readonly isLate?: boolean} = {}): Promise<void> {
		const {servers, positions} = this.#entries[entry]!;
		if (this.#isCut(`entry-${entry}`, control)) {
			servers.loseSource(control);
			return;
		}

		const position = positions.get(control) ?? {run: '', cursor: 0};
		const question: WatchMessage = {
			type: 'watch', isUrgent: true, zone, configurationVersion: undefined, ...position, suspectCursor: 0, rolloutDigest: '', evidence: [],
		};
		const reply = await this.#controls.get(control)!.watches.answer(`entry-${entry}` as InstanceId, question);
		if (isLate) {
			this.#lateReplies.push({
				entry, source: control, reply, askedAt: this.now,
			});
		} else {
			this.#take({entry, source: control, reply});
		}
	}

	/** Delivers the replies that are late; an entry instance takes none after the time of its question. */
	deliverLate(): void {
		for (const {askedAt, ...reply} of this.#lateReplies.splice(0)) {
			if (this.now - askedAt <= questionMilliseconds) {
				this.#take(reply);
			}
		}
	}

	/** Has a server announce itself elsewhere from now on. */
	move(server: ServerId, control: InstanceId): void {
		this.#homes.set(server, control);
	}

	/** Lets time pass, with the announcements of servers, the rounds of control and the questions of entry instances. */
	async pass(milliseconds: number): Promise<void> {
		for (let passed = 0; passed < milliseconds; passed += roundMilliseconds) {
			this.now += roundMilliseconds;
			for (const [server, control] of this.#homes) {
				await this.announce(control, server);
			}

			for (const {news} of this.#controls.values()) {
				news.share();
				await news.save();
			}

			await settled();
			await this.askAll();
		}
	}

	/** Lets each entry instance ask each control instance. */
	async askAll(): Promise<void> {
		for (const entry of this.#entries.keys()) {
			for (const control of this.controls) {
				await this.ask(entry, control);
			}
		}
	}

	/** Ends the timers. */
	stop(): void {
		for (const {news} of this.#controls.values()) {
			news.stop();
		}
	}

	#leave(server: ServerId): void {
		this.left.set(server, this.left.get(server) ?? this.now);
	}

	#take({entry, source, reply}: TakenReply): void {
		const {servers, positions, told} = this.#entries[entry]!;
		const isWhole = positions.get(source)?.run !== reply.run;
		positions.set(source, {run: reply.run, cursor: reply.cursor});
		servers.take(reply.records, {source, now: this.now, isWhole});
		for (const {id, state} of reply.records) {
			if (state !== 'ready') {
				told.add(id);
			}
		}
	}

	#start(control: InstanceId): void {
		const started = startTestControl({
			run: `run-${++this.#runs}`,
			clock: {now: () => new Date(this.now), monotonic: () => this.now},
			others: () => this.controls.filter(other => other !== control),
			ask: async (to, message) => this.#isCut(control, to) ? undefined : this.#answer(to, message),
			saved: {
				read: async () => this.#saved.get(control) ?? [],
				write: async records => {
					this.#saved.set(control, records);
					return true;
				},
			},
		});
		this.#controls.set(control, started);
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
			news.end(message.server);
			return true;
		}

		return message.type === 'all-servers' ? news.all : undefined;
	}

	#isCut(one: string, other: string): boolean {
		return this.#cuts.has(`${one} ${other}`);
	}
}

function ignore(): void {
	// Nobody is told.
}

async function settled(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
