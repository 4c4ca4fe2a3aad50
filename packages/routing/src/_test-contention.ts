import {
	type RandomSource, type RequestId, type ServerId, toId, type WorkspaceId,
} from '@valehitch/core';
import {contentionPool, type ContentionPool, maximumPictureAge} from './contention-pool.js';
import {ContentionQueue} from './contention-queue.js';
import {type ContentionRequest} from './contention-request.js';
import {type HeldWork, type PoolPicture} from './pool-picture.js';

/** A kind of request: what its prompts take of a server, and what an answer is worth. */
type Kind = {
	readonly name: string;
	readonly share: number;
	/** Milliseconds of a server, on average. */
	readonly work: number;
	readonly targetLatency: number;
	readonly timeout: number;
	readonly worth: number;
	readonly lateWorth: number;
};

/** The three kinds, the most urgent first: at 22 tokens in a millisecond, 830, 2,400 and 12,000 tokens. */
export const kinds: readonly Kind[] = [
	{
		name: 'query', share: 0.49, work: 38, targetLatency: 1500, timeout: 20_000, worth: 2.6, lateWorth: 0.54,
	},
	{
		name: 'tag', share: 0.3, work: 109, targetLatency: 2000, timeout: 5000, worth: 0.44, lateWorth: 0.22,
	},
	{
		name: 'summary', share: 0.21, work: 545, targetLatency: 6000, timeout: 25_000, worth: 2.2, lateWorth: 1.6,
	},
];

/** What an instance does with a request that arrives: `today` knows the loads of six other instances, `unheld` the picture; `all-knowing` is one queue for all servers. */
export type Strategy = 'today' | 'random' | 'unheld' | 'all-knowing' | 'queue';

/** A time with a constant demand. */
export type Phase = {
	readonly load: number;
	readonly milliseconds: number;
};

/** What is simulated; 84 instances, by default, without a loss of pictures. */
export type ContentionPlay = {
	readonly strategy: Strategy;
	readonly phases: readonly Phase[];
	readonly seed: number;
	readonly instances?: number;
	/** The share of the pictures that do not arrive. */
	readonly lostPictures?: number;
	/** The time in which no picture arrives, in milliseconds. */
	readonly darkness?: readonly [from: number, to: number];
	/** By how much the rate of the first workspace is multiplied. */
	readonly hotFactor?: number;
	/** By how much the work that the first workspace states differs from what its prompts take. */
	readonly statedFactor?: number;
	/** Whether servers process what waits there by urgency, rather than in the order of its arrival; true by default. */
	readonly honoursUrgency?: boolean;
	readonly boundShare?: number;
	/** How many times a rejected caller returns after its delay, at another instance; 0 by default. */
	readonly returns?: number;
	/** Whether each instance releases its share only; true by default. */
	readonly isShared?: boolean;
};

/** A request and what became of it. */
export type Played = ContentionRequest & {
	readonly kind: Kind;
	instance: number;
	/** The milliseconds that its prompt takes. */
	readonly taken: number;
	/** What its instance tells of that: what is stated, within a tenth and ten times the mean of its kind. */
	readonly told: number;
	sentAt?: number;
	server?: number;
	firstEventAt?: number;
	wasRejected?: boolean;
	retryAfter?: number;
	/** When it came last, if it has returned. */
	returnedAt?: number;
	returns?: number;
};

/** The requests of a play, and what the servers did. */
export type PlayResult = {
	readonly requests: readonly Played[];
	/** The time of idle servers that held requests could have used, as a share of the time of all servers. */
	readonly idleShare: number;
	/** The same for all idle servers while any request was held. */
	readonly idleBesideHeldShare: number;
	/** The milliseconds of processing for callers who had left. */
	readonly workInVain: number;
};

type Server = {
	busyUntil: number;
	current: Played | undefined;
	readonly waiting: Played[];
};

type Picture = {
	readonly takenAt: number;
	readonly total: Float64Array;
	readonly own: readonly Float64Array[];
	readonly held: readonly Float64Array[];
};

export const serverCount = 42;
export const workspaceCount = 24;
const stepMilliseconds = 5;
const tickMilliseconds = 40;
const pictureMilliseconds = 200;
const pictureDelay = 300;
const serverIds = Array.from({length: serverCount}, (_, index) => toId<ServerId>(`s${index}`));
/** The distances to the other instances whose loads an instance knows today. */
const knownPeers = [1, 2, 3, 4, 5, 6];
const priorities = kinds.map((_, priority) => priority);

/** Creates a deterministic generator of numbers from 0 to 1 (Park and Miller, 1988). */
export function seededRandom(seed: number): RandomSource {
	let state = seed;
	return () => {
		state = state * 48_271 % 2_147_483_647;
		return state / 2_147_483_647;
	};
}

function drawLevel(drawn: number): number {
	let remaining = drawn;
	for (const [level, {share}] of kinds.entries()) {
		remaining -= share;
		if (remaining < 0) {
			return level;
		}
	}

	return kinds.length - 1;
}

function drawArrivals({phases, seed, instances = 84, hotFactor = 1, statedFactor = 1}: ContentionPlay): Played[] {
	const random = seededRandom(seed);
	const meanWork = kinds.reduce((sum, {share, work}) => sum + (share * work), 0);
	const arrivals: Played[] = [];
	let phaseEnd = 0;
	let now = 0;
	for (const {load, milliseconds} of phases) {
		phaseEnd += milliseconds;
		const weight = workspaceCount - 1 + hotFactor;
		const gap = meanWork * workspaceCount / (load * serverCount * weight);
		for (now = Math.max(now, phaseEnd - milliseconds) - (gap * Math.log(1 - random())); now < phaseEnd; now -= gap * Math.log(1 - random())) {
			const priority = drawLevel(random());
			const kind = kinds[priority]!;
			const workspace = Math.max(0, Math.floor((random() * weight) - hotFactor + 1));
			const taken = kind.work * (0.5 + random());
			const work = taken * (workspace === 0 ? statedFactor : 1);
			const told = Math.min(Math.max(work, kind.work / 10), 10 * kind.work);
			arrivals.push({
				id: toId<RequestId>(String(arrivals.length)),
				kind,
				priority,
				instance: Math.floor(random() * instances),
				workspace: toId<WorkspaceId>(String(workspace)),
				taken,
				told,
				work: told,
				targetLatency: kind.targetLatency,
				arrivedAt: now,
				deadlineAt: now + kind.timeout,
			});
		}
	}

	return arrivals;
}

/** The servers, the entry instances and the pictures between them, on a simulated clock. */
class Simulation {
	readonly #play: ContentionPlay;
	readonly #random: RandomSource;
	readonly #servers: Server[] = Array.from({length: serverCount}, () => ({busyUntil: 0, current: undefined, waiting: []}));
	readonly #own: Float64Array[];
	readonly #total = new Float64Array(serverCount);
	readonly #queues: ContentionQueue[];
	readonly #taken: Picture[] = [];
	readonly #known: Array<Picture | undefined>;
	/** The requests that wait for the next free server under the all-knowing order. */
	readonly #common: Played[] = [];
	readonly #byId: readonly Played[];
	readonly #held = new Set<Played>();
	/** The rejected callers that will return. */
	#returning: Played[] = [];
	#workInVain = 0;
	#idle = 0;
	#idleBesideHeld = 0;
	#now = 0;

	constructor(play: ContentionPlay, arrivals: readonly Played[]) {
		const {instances = 84, boundShare, seed} = play;
		this.#play = play;
		this.#byId = arrivals;
		this.#random = seededRandom(seed + 7919);
		this.#own = Array.from({length: instances}, () => new Float64Array(serverCount));
		this.#known = Array.from({length: instances});
		this.#queues = Array.from({length: instances}, () => new ContentionQueue({random: this.#random, ...(boundShare !== undefined && {boundShare})}));
	}

	run(): PlayResult {
		const end = this.#play.phases.reduce((sum, {milliseconds}) => sum + milliseconds, 0);
		let next = 0;
		for (this.#now = 0; this.#now < end || this.#isBusy; this.#now += stepMilliseconds) {
			this.#tellPictures();
			for (; this.#byId[next] !== undefined && this.#byId[next]!.arrivedAt < this.#now; next++) {
				this.#arrive(this.#byId[next]!);
			}

			this.#takeReturns();
			this.#releaseHeld();
			this.#dropExpired(this.#common, 0);
			for (const [index, server] of this.#servers.entries()) {
				this.#dropExpired(server.waiting, index);
				this.#advance(server, index);
			}

			this.#countIdle();
		}

		const total = end * serverCount;
		return {
			requests: this.#byId, idleShare: this.#idle / total, idleBesideHeldShare: this.#idleBesideHeld / total, workInVain: this.#workInVain,
		};
	}

	get #isBusy(): boolean {
		return this.#held.size > 0 || this.#returning.length > 0 || this.#servers.some(({current}) => current !== undefined);
	}

	#countIdle(): void {
		const idle = this.#servers.filter(({current}) => current === undefined).length;
		this.#idle += stepMilliseconds * Math.min(idle, this.#held.size);
		this.#idleBesideHeld += this.#held.size > 0 ? stepMilliseconds * idle : 0;
	}

	#arrive(request: Played): void {
		const {strategy} = this.#play;
		if (strategy === 'all-knowing') {
			request.sentAt = this.#now;
			this.#common.push(request);
			return;
		}

		if (strategy !== 'queue') {
			this.#send(request);
			return;
		}

		const decision = this.#queues[request.instance]!.offer({...request, arrivedAt: request.returnedAt ?? request.arrivedAt}, {now: this.#now, pool: this.#poolOf(request.instance)});
		if (decision.type === 'send') {
			this.#send(request);
		} else if (decision.type === 'held') {
			this.#held.add(request);
		} else {
			request.wasRejected = true;
			request.retryAfter = decision.retryAfterMilliseconds;
			if ((request.returns ?? 0) < (this.#play.returns ?? 0)) {
				request.returns = (request.returns ?? 0) + 1;
				request.returnedAt = this.#now + decision.retryAfterMilliseconds;
				this.#returning.push(request);
			}
		}
	}

	#takeReturns(): void {
		const due = this.#returning.filter(({returnedAt}) => returnedAt! <= this.#now);
		this.#returning = this.#returning.filter(({returnedAt}) => returnedAt! > this.#now);
		for (const request of due) {
			request.wasRejected = false;
			request.instance = (request.instance + 1) % this.#own.length;
			this.#arrive(request);
		}
	}

	#releaseHeld(): void {
		for (const [instance, queue] of this.#queues.entries()) {
			// The instances are not in step.
			const isDue = Math.floor((this.#now + instance) / stepMilliseconds) % (tickMilliseconds / stepMilliseconds) === 0;
			if (isDue && !queue.isEmpty) {
				for (const {request: {id}} of queue.release({now: this.#now, pool: this.#poolOf(instance)})) {
					this.#send(this.#byId[Number(id)]!);
				}
			}
		}
	}

	#send(request: Played): void {
		this.#held.delete(request);
		const server = this.#choose(request.instance);
		request.sentAt = this.#now;
		request.server = server;
		this.#own[request.instance]![server]! += request.told;
		this.#total[server]! += request.told;
		this.#servers[server]!.waiting.push(request);
	}

	/** Chooses the server with the shortest known wait of four random ones. */
	#choose(instance: number): number {
		const {strategy} = this.#play;
		const picture = strategy === 'today' || this.#ageOf(instance) > maximumPictureAge ? undefined : this.#known[instance];
		const sampleCount = strategy === 'random' ? 1 : 4;
		let best = Math.floor(this.#random() * serverCount);
		for (let drawn = 1; drawn < sampleCount; drawn++) {
			const other = Math.floor(this.#random() * serverCount);
			best = this.#readingAt(other, {instance, picture}) < this.#readingAt(best, {instance, picture}) ? other : best;
		}

		return best;
	}

	#ageOf(instance: number): number {
		return this.#now - (this.#known[instance]?.takenAt ?? Number.NEGATIVE_INFINITY);
	}

	/** Returns the work at a server that an instance knows of: that of all others by a picture, or that of a few peers. */
	#readingAt(server: number, {instance, picture}: {readonly instance: number; readonly picture: Picture | undefined}): number {
		const own = this.#own[instance]![server]!;
		if (picture !== undefined) {
			return own + Math.max(0, picture.total[server]! - picture.own[instance]![server]!);
		}

		const peers = knownPeers.filter(distance => distance < this.#own.length);
		return peers.reduce((sum, distance) => sum + this.#own[(instance + distance) % this.#own.length]![server]!, own);
	}

	#advance(server: Server, index: number): void {
		while (server.busyUntil <= this.#now) {
			this.#finishCurrent(server, index);
			const next = this.#takeNext(server);
			if (next === undefined) {
				return;
			}

			server.busyUntil = Math.max(server.busyUntil, this.#now - stepMilliseconds, next.sentAt!) + next.taken;
			server.current = next;
		}
	}

	#finishCurrent(server: Server, index: number): void {
		const {current} = server;
		if (current !== undefined) {
			const isInVain = server.busyUntil > current.deadlineAt;
			this.#workInVain += isInVain ? current.taken : 0;
			current.firstEventAt = isInVain ? Number.POSITIVE_INFINITY : server.busyUntil;
			this.#forget(current, index);
			server.current = undefined;
		}
	}

	#forget({instance, told, server}: Played, index: number): void {
		if (server !== undefined) {
			this.#own[instance]![index]! -= told;
			this.#total[index]! -= told;
		}
	}

	/** Takes the most urgent request; the all-knowing order puts those that can meet their targets first. */
	#takeNext({waiting}: Server): Played | undefined {
		const {strategy, honoursUrgency = true} = this.#play;
		const isAllKnowing = strategy === 'all-knowing';
		const queue = isAllKnowing ? this.#common : waiting;
		const rankOf = ({priority, arrivedAt, targetLatency, taken}: Played): number => {
			const isLate = isAllKnowing && this.#now + taken > arrivedAt + targetLatency;
			return (honoursUrgency || isAllKnowing ? priority : 0) + (isLate ? kinds.length : 0);
		};

		let best: Played | undefined;
		for (const request of queue) {
			best = best === undefined || rankOf(request) < rankOf(best) ? request : best;
		}

		if (best !== undefined) {
			queue.splice(queue.indexOf(best), 1);
		}

		return best;
	}

	/** Drops the prompts whose callers have left. */
	#dropExpired(queue: Played[], index: number): void {
		for (const request of queue.filter(({deadlineAt}) => deadlineAt <= this.#now)) {
			queue.splice(queue.indexOf(request), 1);
			this.#forget(request, index);
		}
	}

	#tellPictures(): void {
		const {lostPictures = 0, darkness: [from, to] = [0, 0], strategy} = this.#play;
		if (this.#now % pictureMilliseconds !== 0 || strategy === 'all-knowing') {
			return;
		}

		this.#taken.push({
			takenAt: this.#now,
			total: Float64Array.from(this.#total),
			own: this.#own.map(own => Float64Array.from(own)),
			held: this.#queues.map(queue => {
				const held = new Float64Array(kinds.length);
				for (const {priority, milliseconds} of queue.held) {
					held[priority] = milliseconds;
				}

				return held;
			}),
		});
		const arriving = this.#taken.find(({takenAt}) => takenAt + pictureDelay > this.#now - pictureMilliseconds && takenAt + pictureDelay <= this.#now);
		if (arriving === undefined || (this.#now >= from && this.#now < to)) {
			return;
		}

		for (const instance of this.#known.keys()) {
			this.#known[instance] = this.#random() < lostPictures ? this.#known[instance] : arriving;
		}

		this.#taken.splice(0, this.#taken.indexOf(arriving));
	}

	#poolOf(instance: number): ContentionPool | undefined {
		const picture = this.#known[instance];
		const isShared = this.#play.isShared ?? true;
		const known: PoolPicture = {
			age: this.#ageOf(instance),
			workAt: server => ({reading: this.#readingAt(serverIds.indexOf(server), {instance, picture}), streams: 0, slowness: 1}),
			heldByOthers: picture === undefined || !isShared ? [] : heldWithout(picture, instance),
		};
		return contentionPool(known, {servers: serverIds, routes: kinds.map(({targetLatency}, priority) => ({priority, targetLatency}))});
	}
}

function heldWithout({held}: Picture, instance: number): readonly HeldWork[] {
	return priorities.map(priority => ({
		priority, milliseconds: held.reduce((sum, work) => sum + work[priority]!, -held[instance]![priority]!),
	}));
}

/** Plays a load. The same seed gives the same arrivals under each strategy. */
export function playContention(play: ContentionPlay): PlayResult {
	return new Simulation(play, drawArrivals(play)).run();
}
