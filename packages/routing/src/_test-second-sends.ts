import {type RandomSource} from '@valehitch/core';
import {seededRandom} from './_test-contention.js';
import {EventQueue, type SimulatedEvent} from './_test-event-queue.js';
import {AnswerTimes} from './answer-times.js';
import {decideOverdue, type SecondSendReason} from './decide-overdue.js';
import {SecondSendAllowance} from './second-send-allowance.js';
import {WindowedRetryBudget} from './windowed-retry-budget.js';

/** What is done about a send that is not answered: nothing, giving it up after a fixed part of the time limit, or the decision of this package. */
export type SecondSendRule = 'none' | 'fixed-share' | 'decision';

/** What is wrong with a server, or with all of them, during a time. */
export type ServerFault = {
	/** The index of the server; undefined for all. */
	readonly server?: number;
	/** Milliseconds from the start. */
	readonly from: number;
	readonly until: number;
	/** The share of the requests sent to it that it never answers; 0 by default. */
	readonly lostShare?: number;
	/** Whether it sends nothing and accepts no connection. */
	readonly isDark?: boolean;
	/** How fast it works; 1 by default, 0 while it is stopped but its kernel accepts connections. */
	readonly speed?: number;
};

/** A time with a steady rate of arrivals. */
export type LoadPhase = {
	readonly milliseconds: number;
	/** The work that arrives, as a share of what all servers can do. */
	readonly load: number;
};

/** What {@linkcode simulateSecondSends} plays. */
export type SecondSendsPlay = {
	readonly seed: number;
	readonly rule: SecondSendRule;
	readonly phases: readonly LoadPhase[];
	/** Draws the time that a request takes at a server of speed 1, in milliseconds. */
	readonly drawTime: (random: RandomSource) => number;
	/** None by default. */
	readonly faults?: readonly ServerFault[];
	/** The number of servers; 3 by default. */
	readonly servers?: number;
	/** The requests that a server processes at a time; 8 by default. */
	readonly slots?: number;
	/** The number of entry instances; 2 by default. */
	readonly instances?: number;
	/** The time limit of a request in milliseconds; 6000 by default. */
	readonly timeLimit?: number;
	/** The target latency in milliseconds; 3000 by default. */
	readonly targetLatency?: number;
};

/** A request that has ended. */
export type PlayedRequest = {
	/** Milliseconds from the start. */
	readonly arrivedAt: number;
	/** The time that it takes at a server of speed 1, in milliseconds. */
	readonly workTime: number;
	/** The time until its answer, in milliseconds; undefined if there was none in time. */
	readonly latency: number | undefined;
	/** The number of servers it was sent to. */
	readonly sends: number;
	/** The server that it was sent to first. */
	readonly firstServer: number;
	/** Whether a server lost it. */
	readonly isLost: boolean;
};

/** What a play has given. */
export type SecondSendsResult = {
	readonly requests: readonly PlayedRequest[];
	/** The work at all servers, each 100 ms, in milliseconds of processing at speed 1. */
	readonly waitingWork: readonly number[];
	/** The number of second and third sends by their reason. */
	readonly reasons: ReadonlyMap<string, number>;
};

type Send = {
	readonly request: Request;
	readonly server: Server;
	readonly sentAt: number;
	/** Why another server was asked too. */
	reason: SecondSendReason | undefined;
	/** The work left, in milliseconds at speed 1; it is not lost on its way. */
	left: number;
	/** When the work left was last updated. */
	updatedAt: number;
	end: SimulatedEvent | undefined;
	isOver: boolean;
	isLate: boolean;
};

type Server = {
	readonly index: number;
	speed: number;
	lostShare: number;
	isDark: boolean;
	readonly active: Set<Send>;
	readonly queue: Set<Send>;
};

type Entry = {
	readonly answerTimes: AnswerTimes;
	readonly hedges: SecondSendAllowance;
	readonly retries: WindowedRetryBudget;
	readonly inFlight: number[];
	readonly heardAt: number[];
	readonly silentUntil: number[];
	readonly silences: number[];
};

type Request = {
	readonly arrivedAt: number;
	readonly workTime: number;
	readonly entry: Entry;
	readonly sends: Send[];
	isLost: boolean;
	hasEnded: boolean;
};

type Finding = {
	readonly waited: number;
	readonly isResponsive: boolean | undefined;
	readonly lateAfter: number;
	readonly answerTime: number;
};

const key = 'route-1';
const maximumSends = 3;
const retryShare = 0.1;
const lateShare = 0.95;
const answerShare = 0.5;
const fixedShare = 0.4;
const minimumLateMilliseconds = 100;
const reachabilityCheckMilliseconds = 500;
const recheckMilliseconds = 1000;
const repeatMilliseconds = 100;
const sampleMilliseconds = 100;
const initialSilenceMilliseconds = 500;
const maximumSilenceMilliseconds = 8000;
const meanSampleCount = 5000;

/**
Plays requests at servers with slots and a queue, with second sends by a rule, in simulated time.

Each entry instance sends to the emptier of two servers that are drawn, and learns answer times from its own requests only. Plain requests are played, with the patience that the gateway has with them; servers are not ejected for failures. The answer that comes first counts; the other sends are cancelled, which frees their slots or their places in the queues.
*/
export function simulateSecondSends(play: SecondSendsPlay): SecondSendsResult {
	return new Simulation(play).run();
}

/** The mean of the drawn times, in milliseconds. */
export function meanTime(drawTime: SecondSendsPlay['drawTime']): number {
	const random = seededRandom(1);
	let total = 0;
	for (let index = 0; index < meanSampleCount; index++) {
		total += drawTime(random);
	}

	return total / meanSampleCount;
}

/** The time after which a share of the requests is answered, in milliseconds; infinite if so many never are. */
export function latencyQuantile(requests: readonly PlayedRequest[], share: number): number {
	const latencies = requests.map(({latency}) => latency ?? Number.POSITIVE_INFINITY).toSorted((a, b) => a - b);
	return latencies[Math.max(0, Math.ceil(share * latencies.length) - 1)] ?? 0;
}

/** The mean number of sends of a request. */
export function sendsPerRequest(requests: readonly PlayedRequest[]): number {
	let sends = 0;
	for (const request of requests) {
		sends += request.sends;
	}

	return sends / Math.max(1, requests.length);
}

class Simulation {
	readonly #play: Required<SecondSendsPlay>;
	readonly #random: RandomSource;
	readonly #lossRandom: RandomSource;
	readonly #choiceRandom: RandomSource;
	readonly #events = new EventQueue();
	readonly #servers: readonly Server[];
	readonly #entries: readonly Entry[];
	readonly #ended: PlayedRequest[] = [];
	readonly #waitingWork: number[] = [];
	readonly #reasons = new Map<string, number>();

	constructor(play: SecondSendsPlay) {
		this.#play = {
			faults: [], servers: 3, slots: 8, instances: 2, timeLimit: 6000, targetLatency: 3000, ...play,
		};
		this.#random = seededRandom(play.seed);
		this.#lossRandom = seededRandom(play.seed + 1_000_003);
		this.#choiceRandom = seededRandom(play.seed + 2_000_003);
		const {servers, instances} = this.#play;
		this.#servers = Array.from({length: servers}, (_, index) => ({
			index, speed: 1, lostShare: 0, isDark: false, active: new Set<Send>(), queue: new Set<Send>(),
		}));
		const zeros = (): number[] => Array.from({length: servers}, () => 0);
		this.#entries = Array.from({length: instances}, () => ({
			answerTimes: new AnswerTimes(),
			hedges: new SecondSendAllowance(),
			retries: new WindowedRetryBudget({ratio: retryShare}),
			inFlight: zeros(),
			heardAt: zeros(),
			silentUntil: zeros(),
			silences: zeros(),
		}));
	}

	run(): SecondSendsResult {
		this.#scheduleArrivals();
		this.#scheduleFaults();
		const duration = this.#play.phases.reduce((sum, {milliseconds}) => sum + milliseconds, 0);
		for (let at = 0; at < duration; at += sampleMilliseconds) {
			this.#events.schedule(at, () => {
				this.#waitingWork.push(this.#workAtServers());
			});
		}

		this.#events.run();

		return {requests: this.#ended, waitingWork: this.#waitingWork, reasons: this.#reasons};
	}

	get #now(): number {
		return this.#events.now;
	}

	#scheduleArrivals(): void {
		const {phases, drawTime, servers, slots} = this.#play;
		const mean = meanTime(drawTime);
		let phaseStart = 0;
		for (const {milliseconds, load} of phases) {
			const gap = mean / (load * servers * slots);
			let at = phaseStart - (gap * Math.log(1 - this.#random()));
			phaseStart += milliseconds;
			while (at < phaseStart) {
				const request: Request = {
					arrivedAt: at, workTime: drawTime(this.#random), entry: this.#drawEntry(), sends: [], isLost: false, hasEnded: false,
				};
				this.#events.schedule(at, () => {
					this.#start(request);
				});
				at -= gap * Math.log(1 - this.#random());
			}
		}
	}

	#drawEntry(): Entry {
		return this.#entries[Math.floor(this.#random() * this.#entries.length)]!;
	}

	#scheduleFaults(): void {
		for (const {server, from, until, lostShare = 0, isDark = false, speed = 1} of this.#play.faults) {
			const affected = this.#servers.filter(({index}) => server === undefined || index === server);
			this.#events.schedule(from, () => {
				for (const one of affected) {
					one.lostShare = lostShare;
					one.isDark = isDark;
					this.#setSpeed(one, isDark ? 0 : speed);
				}
			});
			this.#events.schedule(until, () => {
				for (const one of affected) {
					one.lostShare = 0;
					one.isDark = false;
					this.#setSpeed(one, 1);
				}
			});
		}
	}

	#workAtServers(): number {
		let work = 0;
		for (const {active, queue, speed} of this.#servers) {
			for (const {left, updatedAt} of active) {
				work += left - (speed * (this.#now - updatedAt));
			}

			for (const {left} of queue) {
				work += left;
			}
		}

		return work;
	}

	#start(request: Request): void {
		request.entry.retries.deposit(key, this.#now);
		this.#events.schedule(request.arrivedAt + this.#play.timeLimit, () => {
			this.#end(request, undefined);
		});
		this.#send(request);
	}

	#candidates({sends, entry}: Request): readonly Server[] {
		const others = this.#servers.filter(server => sends.every(send => send.server !== server));
		const heard = others.filter(({index}) => entry.silentUntil[index]! <= this.#now);
		return heard.length === 0 ? others : heard;
	}

	#inFlightAt({index}: Server): number {
		return this.#entries.reduce((sum, {inFlight}) => sum + inFlight[index]!, 0);
	}

	#send(request: Request): void {
		const candidates = this.#candidates(request);
		const {entry, workTime} = request;
		const first = candidates[Math.floor(this.#choiceRandom() * candidates.length)]!;
		const second = candidates[Math.floor(this.#choiceRandom() * candidates.length)]!;
		const server = this.#inFlightAt(second) < this.#inFlightAt(first) ? second : first;
		const send: Send = {
			request, server, sentAt: this.#now, left: workTime, updatedAt: this.#now, end: undefined, isOver: false, isLate: false, reason: undefined,
		};
		request.sends.push(send);
		entry.hedges.recordSend(key, {server: `${server.index}`, now: this.#now});
		if (entry.silences[server.index]! > 0) {
			this.#markSilent(entry, server);
		}

		entry.inFlight[server.index]!++;
		if (server.isDark || this.#lossRandom() < server.lostShare) {
			request.isLost = true;
		} else {
			server.queue.add(send);
			this.#fillSlots(server);
		}

		if (this.#play.rule !== 'none' && request.sends.length < maximumSends) {
			this.#watch(send);
		}
	}

	#watch(send: Send): void {
		const {request: {entry}, server, sentAt} = send;
		const {rule, timeLimit, targetLatency} = this.#play;
		const timeOf = (share: number, fallback: number): number => Math.max(minimumLateMilliseconds, entry.answerTimes.quantile(key, {share, now: this.#now}) ?? fallback);
		const lateAfter = rule === 'decision' ? timeOf(lateShare, targetLatency) : fixedShare * timeLimit;
		const answerTime = rule === 'decision' ? timeOf(answerShare, 0) : 0;
		let checkedAt = Number.NEGATIVE_INFINITY;
		let wasReachable = true;
		const look = (): void => {
			if (send.isOver) {
				return;
			}

			const waited = this.#now - sentAt;
			let isResponsive: boolean | undefined;
			if (waited >= reachabilityCheckMilliseconds) {
				isResponsive = true;
				if (entry.heardAt[server.index]! <= sentAt) {
					if (waited - checkedAt >= recheckMilliseconds) {
						checkedAt = waited;
						wasReachable = !server.isDark;
					}

					isResponsive = wasReachable;
				}
			}

			if (!this.#act(send, {
				waited, isResponsive, lateAfter, answerTime,
			})) {
				this.#events.schedule(this.#now + repeatMilliseconds, look);
			}
		};

		this.#events.schedule(sentAt + Math.min(lateAfter, reachabilityCheckMilliseconds), look);
	}

	/** Sends the request to another server too if the rule says so; returns whether it did. */
	#act(send: Send, {waited, isResponsive, lateAfter, answerTime}: Finding): boolean {
		const {request, server, sentAt} = send;
		const {entry} = request;
		const canGoElsewhere = entry.retries.allows(key, this.#now) && request.sends.length < this.#servers.length;
		if (this.#play.rule === 'fixed-share') {
			if (!canGoElsewhere || (isResponsive !== false && waited < lateAfter)) {
				return false;
			}

			this.#countSecond(isResponsive === false ? 'unresponsive' : 'late');
			if (isResponsive === false) {
				this.#markSilent(entry, server);
			}

			this.#cancel(send);
		} else {
			if (waited >= lateAfter && !send.isLate) {
				send.isLate = true;
				entry.hedges.recordLate(key, {server: `${server.index}`, now: this.#now});
			}

			const timeLeft = request.arrivedAt + this.#play.timeLimit - this.#now;
			const decision = decideOverdue({
				waited,
				timeLeft,
				lateAfter,
				patience: Math.max(lateAfter, this.#play.targetLatency),
				answerTime,
				overtakenBy: entry.answerTimes.overtakenBy(key, {sentAt}),
				isResponsive,
				canGoElsewhere,
				hasAllowance: entry.hedges.allows(key, {server: `${server.index}`, now: this.#now}),
				hasLastAllowance: entry.hedges.allowsLast(key, this.#now),
			});
			if (decision.type === 'wait') {
				return false;
			}

			this.#countSecond(decision.reason);
			send.reason = decision.reason;
			if (decision.reason === 'unresponsive') {
				this.#markSilent(entry, server);
			} else {
				entry.hedges.withdraw(key, {server: `${server.index}`, now: this.#now});
			}
		}

		entry.retries.withdraw(key, this.#now);
		this.#send(request);
		return true;
	}

	#countSecond(reason: SecondSendReason): void {
		this.#reasons.set(reason, (this.#reasons.get(reason) ?? 0) + 1);
	}

	#markSilent(entry: Entry, {index}: Server): void {
		if (this.#now < entry.silentUntil[index]!) {
			return;
		}

		const silence = Math.min(maximumSilenceMilliseconds, initialSilenceMilliseconds * (2 ** entry.silences[index]!));
		entry.silences[index]!++;
		entry.silentUntil[index] = this.#now + silence;
	}

	#fillSlots(server: Server): void {
		for (const send of server.queue) {
			if (server.active.size >= this.#play.slots) {
				return;
			}

			server.queue.delete(send);
			server.active.add(send);
			send.updatedAt = this.#now;
			this.#scheduleEnd(send);
		}
	}

	#scheduleEnd(send: Send): void {
		this.#events.cancel(send.end);
		send.end = send.server.speed === 0
			? undefined
			: this.#events.schedule(this.#now + (send.left / send.server.speed), () => {
				this.#answer(send);
			});
	}

	#setSpeed(server: Server, speed: number): void {
		for (const send of server.active) {
			send.left = Math.max(0, send.left - (server.speed * (this.#now - send.updatedAt)));
			send.updatedAt = this.#now;
		}

		server.speed = speed;
		for (const send of server.active) {
			this.#scheduleEnd(send);
		}
	}

	#answer(send: Send): void {
		const {request, server, sentAt} = send;
		const {entry} = request;
		entry.heardAt[server.index] = this.#now;
		entry.silentUntil[server.index] = 0;
		entry.silences[server.index] = 0;
		entry.answerTimes.recordAnswered(key, {sentAt, now: this.#now});
		this.#leaveServer(send);
		const overtaken = request.sends.filter(other => other !== send && !other.isOver && other.sentAt < sentAt && other.reason !== undefined && other.reason !== 'unresponsive');
		for (const other of overtaken) {
			if (entry.heardAt[other.server.index]! <= other.sentAt) {
				this.#markSilent(entry, other.server);
			}
		}

		if (overtaken.length > 0) {
			entry.hedges.recordWorthIt(key, this.#now);
		}

		this.#end(request, this.#now - request.arrivedAt);
	}

	#cancel(send: Send): void {
		if (!send.isOver) {
			send.request.entry.answerTimes.recordAbandoned(key, {sentAt: send.sentAt, now: this.#now});
			this.#leaveServer(send);
		}
	}

	#leaveServer(send: Send): void {
		const {server, request} = send;
		send.isOver = true;
		request.entry.inFlight[server.index]!--;
		this.#events.cancel(send.end);
		server.queue.delete(send);
		server.active.delete(send);
		this.#fillSlots(server);
	}

	#end(request: Request, latency: number | undefined): void {
		if (request.hasEnded) {
			return;
		}

		request.hasEnded = true;
		for (const send of request.sends) {
			this.#cancel(send);
		}

		const {arrivedAt, workTime, sends, isLost} = request;
		this.#ended.push({
			arrivedAt, workTime, latency, sends: sends.length, firstServer: sends[0]!.server.index, isLost,
		});
	}
}
