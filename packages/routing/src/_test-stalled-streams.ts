import {type RandomSource} from '@valehitch/core';
import {seededRandom} from './_test-contention.js';
import {EventQueue} from './_test-event-queue.js';
import {soundSilenceMilliseconds} from './decide-stalled.js';
import {PauseReview} from './pause-review.js';

/** When another server is asked to go on with a stream: after one target gap, or by the decision of this package. */
export type StallRule = 'target-gap' | 'decision';

/** When the first run of a stream is closed after a second one: some time after its head, the same unless only the first server sends data meanwhile, or with its first event. */
export type HandoverRule = 'head' | 'head-unless-heard' | 'event';

/** What {@linkcode simulateStalledStreams} plays. */
export type StalledStreamsPlay = {
	readonly seed: number;
	readonly rule: StallRule;
	readonly handover: HandoverRule;
	/** The longest silence that is waited for by the decision, in milliseconds; that of the package by default. */
	readonly soundSilence?: number;
	/** How long streams arrive, in milliseconds; 30,000 by default. */
	readonly duration?: number;
	/** The number of streams that arrive in a second; 20 by default. */
	readonly arrivals?: number;
	/** The number of servers; 4 by default. */
	readonly servers?: number;
	/** The number of events of a stream; 30 by default. */
	readonly events?: number;
	/** The time between two events, in milliseconds; 100 by default. */
	readonly gap?: number;
	/** The longest pause that is on time, in milliseconds; 500 by default. */
	readonly targetGap?: number;
	/** The time limit of a stream, in milliseconds; 15,000 by default. */
	readonly timeLimit?: number;
	/** How often a stream may be sent; 3 by default. */
	readonly maximumRuns?: number;
	/** The mean time between two silences of a sound server beyond the time in which all of its streams go on, in milliseconds; none by default. */
	readonly silenceInterval?: number;
	/** The shortest and the longest silence, in milliseconds; 300 and 2000 by default. */
	readonly silences?: readonly [shortest: number, longest: number];
	/** The number of servers that go dark, one after another; 0 by default. */
	readonly darkServers?: number;
	/** The share of the runs that a server loses before some event, while it goes on with others; 0 by default. */
	readonly lostShare?: number;
	/** The share of the second and later runs that break, half of them after their heads and half after their first events; 0 by default. */
	readonly brokenShare?: number;
	/** The time after which a run that has not begun is joined by another, in milliseconds; 1000 by default. */
	readonly lateAfter?: number;
};

/** A stream that has ended. */
export type PlayedStream = {
	readonly isWhole: boolean;
	/** Whether it was not whole though the server of a run that was closed would have gone on to its end. */
	readonly isGivenAway: boolean;
	/** The number of runs. */
	readonly runs: number;
	/** The longest time between two events, in milliseconds; infinite if it is not whole. */
	readonly longestPause: number;
};

type Server = {
	readonly index: number;
	silentUntil: number;
	darkFrom: number;
	heardAt: number;
	avoidedUntil: number;
};

type Run = {
	readonly stream: Stream;
	readonly server: Server;
	readonly sentAt: number;
	/** The number of its events until it is lost; infinite if it is not. */
	readonly lostAfter: number;
	readonly breaks: 'after-head' | 'after-event' | undefined;
	/** The number of its own events. */
	events: number;
	isOver: boolean;
	/** Whether it was closed in favour of another one. */
	isClosed: boolean;
};

type Stream = {
	readonly arrivedAt: number;
	/** Draws what becomes of its runs, which so does not depend on other streams. */
	readonly random: RandomSource;
	readonly runs: Run[];
	readonly review: PauseReview;
	received: number;
	lastEventAt: number;
	longestPause: number;
	hasEnded: boolean;
};

const maximumSeed = 1_000_000_000;
const defaultTargetGap = 500;
const headMilliseconds = 50;
const firstEventMilliseconds = 300;
const breakMilliseconds = 100;
const handoverMilliseconds = 250;
const reviewMilliseconds = 100;
const avoidedMilliseconds = 500;
/** The time after which a dark server has missed its heartbeats, in milliseconds. */
const heartbeatMilliseconds = 6000;
/** Streams of a server go on one after another after its silence, within this time in milliseconds. */
const wakeMilliseconds = 50;
/** The shortest time between two silences of a server, in milliseconds. */
const awakeMilliseconds = 200;

/**
Plays streams at servers, some of which fall silent, go dark or lose single streams, with second runs by a rule, in simulated time.

One entry instance sends each stream to a server that is drawn among those that owe it no event. Servers have room for all streams, retries are limited by the number of runs of a stream only.
*/
export function simulateStalledStreams(play: StalledStreamsPlay): readonly PlayedStream[] {
	return new Simulation(play).run();
}

/** What the streams of some plays came to. */
export type StalledStreamsSummary = {
	readonly streams: number;
	/** The share of the streams that are whole. */
	readonly whole: number;
	/** The share of the streams that were given away by a sound server and broke. */
	readonly givenAway: number;
	/** The number of second and later runs of a stream. */
	readonly secondRuns: number;
	/** The share of the streams that are whole, but with a longer pause than the target gap. */
	readonly late: number;
	/** The median of their longest pauses, in milliseconds. */
	readonly lateP50: number;
	/** Quantiles of the longest pause of a stream, in milliseconds; infinite if so many streams are not whole. */
	readonly p50: number;
	readonly p99: number;
};

/** Adds up streams of a target gap in milliseconds. */
export function summarizeStreams(streams: readonly PlayedStream[], targetGap = defaultTargetGap): StalledStreamsSummary {
	const pauses = streams.map(({longestPause}) => longestPause).toSorted((one, other) => one - other);
	const late = pauses.filter(pause => pause > targetGap && pause < Number.POSITIVE_INFINITY);
	let runs = 0;
	for (const stream of streams) {
		runs += stream.runs;
	}

	return {
		streams: streams.length,
		whole: streams.filter(({isWhole}) => isWhole).length / streams.length,
		givenAway: streams.filter(({isGivenAway}) => isGivenAway).length / streams.length,
		secondRuns: (runs - streams.length) / streams.length,
		late: late.length / streams.length,
		lateP50: quantileOf(late, 0.5),
		p50: quantileOf(pauses, 0.5),
		p99: quantileOf(pauses, 0.99),
	};
}

function quantileOf(sorted: readonly number[], share: number): number {
	return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
}

/** Numbers that follow a small seed directly are small. */
function mixSeed(seed: number): number {
	const random = seededRandom(seed + 1);
	random();
	return 1 + Math.floor(maximumSeed * random());
}

class Simulation {
	readonly #play: Required<StalledStreamsPlay>;
	readonly #random: RandomSource;
	readonly #wakeRandom: RandomSource;
	readonly #events = new EventQueue();
	readonly #servers: readonly Server[];
	readonly #ended: PlayedStream[] = [];

	constructor(play: StalledStreamsPlay) {
		this.#play = {
			soundSilence: soundSilenceMilliseconds, duration: 30_000, arrivals: 20, servers: 4, events: 30, gap: 100, targetGap: defaultTargetGap, timeLimit: 15_000, maximumRuns: 3,
			silenceInterval: Number.POSITIVE_INFINITY, silences: [300, 2000], darkServers: 0, lostShare: 0, brokenShare: 0, lateAfter: 1000, ...play,
		};
		// Arrivals and faults must not depend on the rule.
		this.#random = seededRandom(mixSeed(play.seed));
		this.#wakeRandom = seededRandom(mixSeed(play.seed + 1_000_003));
		this.#servers = Array.from({length: this.#play.servers}, (_, index) => ({
			index, silentUntil: 0, darkFrom: Number.POSITIVE_INFINITY, heardAt: Number.NEGATIVE_INFINITY, avoidedUntil: 0,
		}));
	}

	run(): readonly PlayedStream[] {
		this.#scheduleFaults();
		this.#scheduleArrivals();
		this.#events.run();

		return this.#ended;
	}

	get #now(): number {
		return this.#events.now;
	}

	#scheduleFaults(): void {
		const {duration, silenceInterval, silences: [shortest, longest], darkServers} = this.#play;
		for (const server of this.#servers) {
			if (server.index < darkServers) {
				server.darkFrom = duration * (server.index + 1) / (darkServers + 1);
			}

			let at = -silenceInterval * Math.log(1 - this.#random());
			while (at < duration) {
				const until = at + shortest + ((longest - shortest) * this.#random());
				this.#events.schedule(at, () => {
					server.silentUntil = until;
				});
				at = until + awakeMilliseconds - (silenceInterval * Math.log(1 - this.#random()));
			}
		}
	}

	#scheduleArrivals(): void {
		const {duration, arrivals} = this.#play;
		for (let at = 0; at < duration; at -= 1000 / arrivals * Math.log(1 - this.#random())) {
			const arrivedAt = at;
			const random = seededRandom(mixSeed(Math.floor(maximumSeed * this.#random())));
			this.#events.schedule(at, () => {
				this.#start(arrivedAt, random);
			});
		}
	}

	#start(arrivedAt: number, random: RandomSource): void {
		const {targetGap, soundSilence, timeLimit} = this.#play;
		const shift = soundSilenceMilliseconds - soundSilence;
		const stream: Stream = {
			arrivedAt,
			random,
			runs: [],
			review: new PauseReview({targetGap: targetGap + shift, onDecision: () => undefined}),
			received: 0,
			lastEventAt: arrivedAt,
			longestPause: 0,
			hasEnded: false,
		};
		this.#events.schedule(arrivedAt + timeLimit, () => {
			this.#end(stream, false);
		});
		this.#send(stream);
		this.#look(stream);
	}

	#liveRuns({runs}: Stream): readonly Run[] {
		return runs.filter(({isOver}) => !isOver);
	}

	#candidates(stream: Stream): readonly Server[] {
		const used = new Set(this.#liveRuns(stream).map(({server}) => server));
		const free = this.#servers.filter(server => !used.has(server));
		return free.filter(({avoidedUntil}) => avoidedUntil <= this.#now);
	}

	#canSend(stream: Stream): boolean {
		return stream.runs.length < this.#play.maximumRuns && this.#candidates(stream).length > 0;
	}

	#send(stream: Stream): void {
		const {lostShare, brokenShare, events} = this.#play;
		const candidates = this.#candidates(stream);
		const among = candidates.length === 0 ? this.#servers : candidates;
		const {random} = stream;
		const server = among[Math.floor(random() * among.length)]!;
		const isLost = random() < lostShare;
		const isBroken = random() < brokenShare && stream.runs.length > 0;
		const lostAfter = Math.floor(random() * events);
		const breaks = random() < 0.5 ? 'after-head' : 'after-event';
		const run: Run = {
			stream,
			server,
			sentAt: this.#now,
			lostAfter: isLost ? lostAfter : Number.POSITIVE_INFINITY,
			breaks: isBroken ? breaks : undefined,
			events: 0,
			isOver: false,
			isClosed: false,
		};
		stream.runs.push(run);
		this.#whenServerActs(run, {
			delay: headMilliseconds, act: () => {
				this.#receiveHead(run);
			},
		});
	}

	/** Schedules something that a server does, later by its silences and never once it is dark. */
	#whenServerActs(run: Run, {delay, act}: {readonly delay: number; readonly act: () => void}): void {
		const {server} = run;
		this.#events.schedule(this.#now + delay, () => {
			if (run.isOver || this.#now >= server.darkFrom) {
				return;
			}

			if (this.#now < server.silentUntil) {
				this.#whenServerActs(run, {delay: server.silentUntil - this.#now + (wakeMilliseconds * this.#wakeRandom()), act});
				return;
			}

			server.heardAt = this.#now;
			server.avoidedUntil = 0;
			act();
		});
	}

	#receiveHead(run: Run): void {
		if (run.stream.runs[0] !== run) {
			this.#events.schedule(this.#now + handoverMilliseconds, () => {
				this.#handOver(run);
			});
		}

		if (run.breaks === 'after-head') {
			this.#events.schedule(this.#now + breakMilliseconds, () => {
				this.#breakOff(run);
			});
			return;
		}

		if (run.lostAfter > 0) {
			this.#whenServerActs(run, {
				delay: firstEventMilliseconds - headMilliseconds, act: () => {
					this.#receiveEvent(run);
				},
			});
		}
	}

	/** Closes the earlier runs some time after the head of a later one. */
	#handOver(run: Run): void {
		const {handover} = this.#play;
		if (run.isOver || run.events > 0 || handover === 'event') {
			return;
		}

		const headAt = this.#now - handoverMilliseconds;
		for (const other of this.#liveRuns(run.stream)) {
			const isHeardAlone = other.server.heardAt > headAt && run.server.heardAt <= headAt;
			if (other !== run && other.sentAt < run.sentAt && !(handover === 'head-unless-heard' && isHeardAlone)) {
				this.#close(other);
			}
		}
	}

	#receiveEvent(run: Run): void {
		const {stream} = run;
		const {events, gap} = this.#play;
		for (const other of this.#liveRuns(stream)) {
			if (other !== run) {
				this.#close(other);
			}
		}

		run.events++;
		if (stream.received > 0) {
			stream.longestPause = Math.max(stream.longestPause, this.#now - stream.lastEventAt);
		}

		stream.received++;
		stream.lastEventAt = this.#now;
		if (stream.received >= events) {
			this.#end(stream, true);
			return;
		}

		if (run.breaks === 'after-event') {
			this.#events.schedule(this.#now + breakMilliseconds, () => {
				this.#breakOff(run);
			});
		} else if (run.events < run.lostAfter) {
			this.#whenServerActs(run, {
				delay: gap, act: () => {
					this.#receiveEvent(run);
				},
			});
		}
	}

	#breakOff(run: Run): void {
		const {stream} = run;
		if (run.isOver) {
			return;
		}

		run.isOver = true;
		if (this.#liveRuns(stream).length > 0) {
			return;
		}

		if (stream.runs.length < this.#play.maximumRuns) {
			this.#send(stream);
		} else {
			this.#end(stream, false);
		}
	}

	#look(stream: Stream): void {
		if (stream.hasEnded) {
			return;
		}

		const live = this.#liveRuns(stream);
		const latest = live.at(-1);
		// A run that is to go on with the stream has its own time to begin.
		if (latest !== undefined && this.#isStalled(stream, latest) && this.#canSend(stream)) {
			latest.server.avoidedUntil = Math.max(latest.server.avoidedUntil, this.#now + avoidedMilliseconds);
			this.#send(stream);
		}

		this.#events.schedule(this.#now + reviewMilliseconds, () => {
			this.#look(stream);
		});
	}

	#isStalled(stream: Stream, latest: Run): boolean {
		const {rule, targetGap, soundSilence, timeLimit, lateAfter} = this.#play;
		if (latest.events === 0) {
			return this.#now - latest.sentAt >= lateAfter;
		}

		const paused = this.#now - stream.lastEventAt;
		if (paused < targetGap) {
			return false;
		}

		const {server} = latest;
		if (rule === 'target-gap') {
			return true;
		}

		const {type, reason} = stream.review.decide({
			now: this.#now,
			// Both times are later by the same difference, so that another limit can be played.
			paused: paused + soundSilenceMilliseconds - soundSilence,
			heardAt: server.heardAt,
			timeLeft: stream.arrivedAt + timeLimit - this.#now,
			resumeTime: firstEventMilliseconds,
			canGoElsewhere: () => this.#canSend(stream),
			isServerInDoubt: this.#now - server.darkFrom >= heartbeatMilliseconds,
		});
		if (reason === 'may-go-on') {
			server.avoidedUntil = Math.max(server.avoidedUntil, this.#now + avoidedMilliseconds);
		}

		return type === 'resume-elsewhere';
	}

	#close(run: Run): void {
		run.isOver = true;
		run.isClosed = true;
	}

	#end(stream: Stream, isWhole: boolean): void {
		if (stream.hasEnded) {
			return;
		}

		stream.hasEnded = true;
		const soundUntil = stream.arrivedAt + this.#play.timeLimit;
		const isSound = ({breaks, lostAfter, server: {darkFrom}}: Run): boolean => breaks === undefined && lostAfter === Number.POSITIVE_INFINITY && darkFrom > soundUntil;
		const wouldHaveGoneOn = stream.runs.some(run => run.isClosed && isSound(run));
		for (const run of stream.runs) {
			run.isOver = true;
		}

		this.#ended.push({
			isWhole, isGivenAway: !isWhole && wouldHaveGoneOn, runs: stream.runs.length, longestPause: isWhole ? stream.longestPause : Number.POSITIVE_INFINITY,
		});
	}
}
