import {setImmediate} from 'node:timers/promises';
import {
	type InstanceId, type RandomSource, type ServerId, type ServiceId, toId, type ZoneId,
} from '@valehitch/core';
import {
	createGatewayMetrics, EntryServers, LatencyEstimator, PoolLoads, type ServerRecord,
} from '@valehitch/gateway';
import {type ServerWork, WorkDigest} from '@valehitch/routing';
import {sampleExponential} from './_bench-tools.js';
import {seededRandom} from './_seeded-random.js';
import {createSpeedPool, firstEventAt, type SimulatedServer} from './_speed-trial-pool.js';
import {meanUniqueWork, samplePrompt, type UnevenPrompt} from './_uneven-trial-prompts.js';
import {EventQueue} from './emulator/event-queue.js';

/** A simulated server, which keeps all shared parts that it has processed. */
export type UnevenServer = SimulatedServer & {
	readonly id: ServerId;
	readonly kept: Set<string>;
};

/** What a rule may know when it chooses a server. */
export type UnevenChoice = {
	readonly servers: readonly UnevenServer[];
	readonly prompt: UnevenPrompt;
	readonly now: number;
	readonly random: RandomSource;
	/** Returns the choice of the product. */
	readonly chooseByProduct: () => ServerId | undefined;
};

/** Chooses a server by its index. */
export type UnevenRule = (choice: UnevenChoice) => number;

/** Which errors of what entry instances believe are taken away. */
export type UnevenKnowledge = {
	/** The speeds of servers are known as they are now. */
	readonly exactSlowness?: boolean;
	/** The work that other instances have sent is known at once. */
	readonly noAge?: boolean;
	/** The work of each prompt is known, what its server has kept included. */
	readonly exactWork?: boolean;
};

/** Options of {@linkcode playUnevenTrial}. */
export type UnevenTrialOptions = UnevenKnowledge & {
	readonly seed: number;
	readonly instances: number;
	readonly rule: UnevenRule;
	/** Returns the load at a time, as a share of what all servers can process if no shared part is processed again. */
	readonly loadAt: (now: number) => number;
	/** The simulated time in milliseconds; 20,000 by default. */
	readonly milliseconds?: number;
	/** The share of reports, replies and summaries that are lost; 0 by default. */
	readonly lostShare?: number;
};

/** What came of a trial. */
export type UnevenResult = {
	/** The times to the first event, in milliseconds. */
	readonly waits: readonly number[];
	/** The mean time until the waiting work is processed, by speed of the server, in milliseconds. */
	readonly backlogs: ReadonlyMap<number, number>;
	/** The tokens of shared parts in all prompts, and those that were processed again. */
	readonly sharedTokens: number;
	readonly tokensAgain: number;
};

type TrialInstance = {
	readonly id: InstanceId;
	readonly pool: PoolLoads;
	readonly servers: EntryServers;
	readonly latencies: LatencyEstimator;
};

const zone = toId<ZoneId>('a');
const service = toId<ServiceId>('models');
const source = toId<InstanceId>('control');
const announcedSpeeds = [0.7, 1, 1.7];
const slots = 64;
/** The time from the first event of an answer to its end, in milliseconds. */
const meanStreamMilliseconds = 1200;
/** The answers of the first seconds are not counted. */
const warmupMilliseconds = 6000;
/** The intervals at which entry instances look whether a report is due, and of summaries. */
const flushMilliseconds = 80;
const summaryMilliseconds = 100;
const controlCount = 3;
const sampleMilliseconds = 100;
const unitMilliseconds = 100;
/** A slowness that does not change counts as that of an unused server. */
const changeShare = 1e-4;
/** The longest time that a message takes, in milliseconds. */
const networkMilliseconds = 4;

/**
Plays the prompts of many entry instances, which choose servers with the modules of the product and tell each other their work by the digest, to servers of three speeds on a simulated clock.

@param options The load, the rule, and what is known.
@returns The times to the first event, the backlogs and what was processed again.
*/
export async function playUnevenTrial(options: UnevenTrialOptions): Promise<UnevenResult> {
	return new UnevenTrial(options).play();
}

class UnevenTrial {
	readonly #options: UnevenTrialOptions;
	readonly #arrivals: RandomSource;
	readonly #random: RandomSource;
	readonly #queue = new EventQueue();
	readonly #servers: readonly UnevenServer[];
	readonly #indexes: ReadonlyMap<ServerId, number>;
	readonly #instances: readonly TrialInstance[];
	readonly #digests = Array.from({length: controlCount}, () => new WorkDigest());
	/** The work of all instances at each server as it is now. */
	readonly #totals: Array<{reading: number; streams: number}>;
	readonly #waits: number[] = [];
	readonly #backlogs = new Map<number, number>();
	#samples = 0;
	#sequence = 0;
	#sharedTokens = 0;
	#tokensAgain = 0;
	/** The shared parts that have been processed at least once. */
	readonly #seenParts = new Set<string>();

	constructor(options: UnevenTrialOptions) {
		this.#options = options;
		this.#arrivals = seededRandom(options.seed);
		this.#random = seededRandom(options.seed + 1);
		this.#servers = createSpeedPool(this.#milliseconds, announcedSpeeds).map((server, index) => ({
			...server, id: toId<ServerId>(`server-${index}`), kept: new Set<string>(),
		}));
		this.#indexes = new Map(this.#servers.map(({id}, index) => [id, index]));
		this.#totals = this.#servers.map(() => ({reading: 0, streams: 0}));
		this.#instances = Array.from({length: options.instances}, (_, index) => this.#createInstance(index));
	}

	get #milliseconds(): number {
		return this.#options.milliseconds ?? 20_000;
	}

	async play(): Promise<UnevenResult> {
		this.#scheduleArrival();
		this.#every(sampleMilliseconds, () => {
			this.#recordBacklogs();
		});
		for (const [index, digest] of this.#digests.entries()) {
			this.#every(summaryMilliseconds, () => {
				this.#summarize(index, digest);
			}, summaryMilliseconds * index / controlCount);
		}

		for (const [index, {pool}] of this.#instances.entries()) {
			this.#every(flushMilliseconds, () => {
				pool.flush();
			}, flushMilliseconds * index / this.#instances.length);
		}

		// Replies are received between steps.
		for (let now = 0; now < this.#milliseconds; now += networkMilliseconds) {
			this.#queue.runUntil(now);
			await setImmediate();
		}

		return {
			waits: this.#waits,
			backlogs: new Map([...this.#backlogs].map(([speed, sum]) => [speed, sum / this.#samples])),
			sharedTokens: this.#sharedTokens,
			tokensAgain: this.#tokensAgain,
		};
	}

	#createInstance(index: number): TrialInstance {
		const id = toId<InstanceId>(`entry-${index}`);
		const control = toId<InstanceId>(`control-${index % controlCount}`);
		const clock = {monotonic: () => this.#queue.now};
		const pool: PoolLoads = new PoolLoads({
			clock,
			random: this.#random,
			zone,
			run: 'one',
			log: doNothing,
			metrics,
			controls: {near: () => [control], has: () => true, forget: doNothing},
			exchange: {recordChange: doNothing, discardServer: doNothing, peerLoadAt: () => 0},
			isLarge: () => true,
			ownLoads: () => servers.ownLoads,
			ownLoadAt: server => servers.ownLoadAt(server),
			ask: async (_, message) => {
				const digest = this.#digests[index % controlCount]!;
				if (this.#isLost()) {
					return undefined;
				}

				digest.receiveReport(id, message, this.#queue.now);
				return this.#isLost() ? undefined : digest.others(id, this.#queue.now);
			},
		});
		const servers: EntryServers = new EntryServers({
			zone, random: this.#random, loads: this.#loadsOf(pool, server => servers.ownLoadAt(server)), onReplaced: doNothing,
		});
		servers.applyRecords(this.#servers.map(({id: server}): ServerRecord => ({
			id: server, service, host: '127.0.0.1', port: 1, zone, version: toId('v1'), slots, state: 'ready', sequence: 1, isSilent: false,
		})), {source, now: 0});
		return {
			id, pool, servers, latencies: new LatencyEstimator(clock),
		};
	}

	/** Returns the loads that an instance believes, without the errors that are taken away. */
	#loadsOf(pool: PoolLoads, ownLoadAt: EntryServers['ownLoadAt']): ConstructorParameters<typeof EntryServers>[0]['loads'] {
		const {exactSlowness = false, noAge = false} = this.#options;
		if (!exactSlowness && !noAge) {
			return pool;
		}

		const slownessOf = (server: ServerId): number | undefined => exactSlowness ? (1 + (changeShare * this.#random())) / this.#speedNow(server) : pool.slownessOf(server);
		const totalAt = (server: ServerId) => this.#totals[this.#indexes.get(server)!]!;
		return {
			slownessOf,
			get usesDigest() {
				return pool.usesDigest;
			},
			peerLoadAt(server) {
				const {reading, streams} = totalAt(server);
				const own = ownLoadAt(server)!;
				return noAge ? (Math.max(0, reading - own.reading) / unitMilliseconds) + streams - own.streams : pool.peerLoadAt(server);
			},
			get othersAge() {
				return noAge ? 0 : pool.othersAge;
			},
			workAt(server): ServerWork | undefined {
				const work = pool.workAt(server);
				return work && {...work, ...(noAge && totalAt(server)), slowness: slownessOf(server) ?? 1};
			},
			recordChange(change) {
				pool.recordChange(change);
			},
			discardServer: doNothing,
			recordSample(server, sample) {
				pool.recordSample(server, sample);
			},
		};
	}

	#scheduleArrival(): void {
		const {loadAt, instances} = this.#options;
		const {now} = this.#queue;
		this.#queue.schedule(sampleExponential(meanUniqueWork / (this.#servers.length * loadAt(now)), this.#arrivals), () => {
			const prompt = samplePrompt(this.#arrivals);
			this.#send(this.#instances[Math.floor(this.#arrivals() * instances)]!, prompt);
			this.#scheduleArrival();
		});
	}

	#send({servers, latencies}: TrialInstance, prompt: UnevenPrompt): void {
		const {rule, exactWork = false} = this.#options;
		const {kind, tokens, part, sharedTokens} = prompt;
		const {now} = this.#queue;
		const calm = exactWork ? prompt.work : latencies.calm(kind, {tokens, fallback: 0});
		const load = Math.max(1, (exactWork ? prompt.work : latencies.estimate(kind, {tokens, fallback: unitMilliseconds})) / unitMilliseconds);
		const index = rule({
			servers: this.#servers, prompt, now, random: this.#random,
			chooseByProduct: () => servers.choose({
				service, isAcceptable: () => true, excluded: new Set(), promptKey: part === undefined ? undefined : {name: part, affinityScope: 'zone'}, load, now,
			})?.id,
		});
		const server = this.#servers[index]!;
		const cached = part !== undefined && server.kept.has(part) ? sharedTokens : 0;
		const work = workAt(server, prompt);
		if (part !== undefined) {
			server.kept.add(part);
		}

		const at = firstEventAt(server, {work, now});
		server.freeAt = at;
		const believed = exactWork ? work : calm;
		const expected = servers.expectedFirstEvent(server.id, believed > 0 ? believed : undefined);
		const readingBefore = servers.ownLoadAt(server.id)!.reading;
		const send = servers.beginSend(server.id, {load, reading: believed > 0 ? believed : undefined, now});
		const reading = servers.ownLoadAt(server.id)!.reading - readingBefore;
		const total = this.#totals[index]!;
		total.reading += reading;
		this.#count(prompt, {wait: at - now, cached});
		this.#queue.schedule(at - now, () => {
			const observed = at - now;
			total.reading -= reading;
			total.streams++;
			send.markAnswerStarted();
			if (expected !== undefined) {
				servers.recordFirstEvent(server.id, {observed, expected}, at);
			}

			latencies.record(kind, {milliseconds: observed, tokens});
			this.#queue.schedule(sampleExponential(meanStreamMilliseconds, this.#random), () => {
				total.streams--;
				send.end();
			});
		});
	}

	#count({part, sharedTokens}: UnevenPrompt, {wait, cached}: {readonly wait: number; readonly cached: number}): void {
		const isFirst = part !== undefined && !this.#seenParts.has(part);
		if (part !== undefined) {
			this.#seenParts.add(part);
		}

		if (this.#queue.now < warmupMilliseconds) {
			return;
		}

		this.#waits.push(wait);
		this.#sharedTokens += sharedTokens;
		this.#tokensAgain += isFirst ? 0 : sharedTokens - cached;
	}

	#recordBacklogs(): void {
		const {now} = this.#queue;
		if (now < warmupMilliseconds) {
			return;
		}

		this.#samples++;
		const serversOfSpeed = this.#servers.length / announcedSpeeds.length;
		for (const {speed, freeAt} of this.#servers) {
			this.#backlogs.set(speed, (this.#backlogs.get(speed) ?? 0) + (Math.max(0, freeAt - now) / serversOfSpeed));
		}
	}

	#summarize(index: number, digest: WorkDigest): void {
		const {now} = this.#queue;
		const summary = {run: 'one', sequence: ++this.#sequence, ...digest.summary(now)};
		for (const [other, otherDigest] of this.#digests.entries()) {
			if (other !== index && !this.#isLost()) {
				otherDigest.receiveSummary(toId<InstanceId>(`control-${index}`), summary, now);
			}
		}
	}

	#every(interval: number, run: () => void, delay = interval): void {
		this.#queue.schedule(delay, () => {
			run();
			this.#every(interval, run);
		});
	}

	#isLost(): boolean {
		const {lostShare = 0} = this.#options;
		return lostShare > 0 && this.#random() < lostShare;
	}

	#speedNow(id: ServerId): number {
		const {speed, slowMoments, freeAt} = this.#servers[this.#indexes.get(id)!]!;
		const {now} = this.#queue;
		const work = 1e-3;
		return work / (firstEventAt({
			speed, slowMoments, freeAt: Math.min(now, freeAt), waiting: [],
		}, {work, now}) - now);
	}
}

/**
Returns the processing time of a prompt at a server, without the shared part if it has kept that.

@param server The server.
@param prompt The prompt.
@returns Milliseconds at a server of mean speed.
*/
export function workAt({kept}: UnevenServer, {work, part, sharedTokens, workOf}: UnevenPrompt): number {
	return part === undefined || kept.has(part) ? work : work + workOf(sharedTokens);
}

function doNothing(): void {
	// Nothing to do.
}

const metrics = createGatewayMetrics();
