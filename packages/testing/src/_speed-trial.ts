import {type RandomSource, type ServerId, toId} from '@valehitch/core';
import {type ServerSpeed, ServerSpeedEstimator} from '@valehitch/routing';
import {sampleExponential} from './_bench-tools.js';
import {seededRandom} from './_seeded-random.js';
import {
	createSpeedPool, firstEventAt, sampleWork, serverCount, type SimulatedServer,
} from './_speed-trial-pool.js';

/** What a rule may know when it chooses a server. */
export type TrialChoice = {
	readonly instance: number;
	readonly now: number;
	/** The work of the prompt, in milliseconds at mean speed. */
	readonly work: number;
	readonly servers: readonly SimulatedServer[];
	/** The waiting work of an instance at a server as it is now. */
	readonly workOf: (instance: number, server: number) => number;
	/** The waiting work of the other instances by the picture. */
	readonly othersAt: (server: number) => number;
	/** The age of the picture, in milliseconds. */
	readonly age: number;
	readonly speedAt: (server: number) => ServerSpeed | undefined;
	readonly random: RandomSource;
};

export type TrialRule = (choice: TrialChoice) => number;

export type TrialOptions = {
	readonly seed: number;
	readonly instances: number;
	readonly rule: TrialRule;
	/** Returns the load at a time, as a share of what all servers can process. */
	readonly loadAt: (now: number) => number;
	readonly milliseconds?: number;
	/** The share of reports of instances that are lost; 0 by default. */
	readonly lostShare?: number;
	/** The interval of pictures and the delay with which they arrive, in milliseconds; 200 and 300 by default, so that the newest is 300 to 500 ms old. */
	readonly pictures?: {readonly interval: number; readonly delay: number};
	/** From when on no report arrives for three seconds. */
	readonly silentFrom?: number;
};

export type TrialResult = {
	/** The times to the first event, with the work of the prompt, in milliseconds. */
	readonly answers: ReadonlyArray<{readonly work: number; readonly wait: number; readonly server: number}>;
	/** The mean time until the waiting work is processed, by kind of server, in milliseconds. */
	readonly waitBySpeed: ReadonlyMap<number, number>;
};

type Picture = {
	readonly at: number;
	readonly totals: Float64Array;
	readonly reported: Float64Array;
	readonly slowness: Float64Array;
};

const defaultPictures = {interval: 200, delay: 300};
const staleMilliseconds = 1500;
const silenceMilliseconds = 3000;
/** The answers of the first seconds are not counted. */
const warmupMilliseconds = 4000;
/** The time constant of the sums of samples in the picture, in milliseconds. */
const sampleMilliseconds = 3000;
/** The expected time with which a server starts at slowness 1, in milliseconds. */
const priorMilliseconds = 100;

/**
Plays the prompts of many entry instances to servers of different speeds, with a simulated clock.

@param options The load, the rule and the failures of reports.
@returns The times to the first event.
*/
export function playSpeedTrial(options: TrialOptions): TrialResult {
	return new SpeedTrial(options).play();
}

class SpeedTrial {
	readonly #options: TrialOptions;
	readonly #random: RandomSource;
	readonly #arrivals: RandomSource;
	readonly #servers: readonly SimulatedServer[];
	readonly #ids = Array.from({length: serverCount}, (_, index) => toId<ServerId>(`server-${index}`));
	readonly #speeds: readonly ServerSpeedEstimator[];
	readonly #works: Float64Array;
	#reported: Float64Array;
	/** The samples that no report has told yet: observed and expected times by instance and server. */
	readonly #untold: Float64Array;
	readonly #observed = new Float64Array(serverCount);
	readonly #expected = new Float64Array(serverCount);
	readonly #pictures: Picture[] = [];
	readonly #answers: Array<{work: number; wait: number; server: number}> = [];
	readonly #waits = new Map<number, number>();
	#ticks = 0;

	constructor(options: TrialOptions) {
		const {seed, instances} = options;
		this.#options = options;
		this.#random = seededRandom(seed + 1);
		this.#arrivals = seededRandom(seed);
		this.#servers = createSpeedPool(this.#milliseconds);
		this.#speeds = Array.from({length: instances}, () => new ServerSpeedEstimator());
		this.#works = new Float64Array(instances * serverCount);
		this.#reported = new Float64Array(instances * serverCount);
		this.#untold = new Float64Array(2 * instances * serverCount);
	}

	get #milliseconds(): number {
		return this.#options.milliseconds ?? 30_000;
	}

	get #pictureTimes(): {readonly interval: number; readonly delay: number} {
		return this.#options.pictures ?? defaultPictures;
	}

	play(): TrialResult {
		const {loadAt} = this.#options;
		// The mean of the prompts that the pool can process in a millisecond.
		const meanWork = Array.from({length: 20_000}, () => sampleWork(this.#random)).reduce((sum, work) => sum + work, 0) / 20_000;
		let nextReport = 0;
		let now = 0;
		while (now < this.#milliseconds) {
			now += sampleExponential(meanWork / (serverCount * loadAt(now)), this.#arrivals);
			const work = sampleWork(this.#arrivals);
			for (; nextReport <= now; nextReport += this.#pictureTimes.interval) {
				this.#finish(nextReport);
				this.#report(nextReport);
			}

			this.#finish(now);
			this.#send(now, work);
		}

		for (const [speed, sum] of this.#waits) {
			this.#waits.set(speed, sum / this.#ticks);
		}

		return {answers: this.#answers, waitBySpeed: this.#waits};
	}

	#send(now: number, work: number): void {
		const instance = Math.floor(this.#arrivals() * this.#options.instances);
		const picture = this.#pictureAt(now);
		const othersAt = (server: number): number => picture === undefined ? 0 : Math.max(0, picture.totals[server]! - picture.reported[(instance * serverCount) + server]!);
		const workOf = (of: number, server: number): number => this.#works[((of % this.#options.instances) * serverCount) + server]!;
		const meanSlowness = picture === undefined ? 1 : harmonicMean(picture.slowness);
		const index = this.#options.rule({
			instance, now, work, servers: this.#servers, workOf, othersAt, age: picture === undefined ? Infinity : now - picture.at, random: this.#random,
			speedAt: server => this.#speeds[instance]!.speedOf(this.#ids[server]!, {slowness: picture?.slowness[server], meanSlowness, now}),
		});
		const server = this.#servers[index]!;
		const at = firstEventAt(server, {work, now});
		server.freeAt = at;
		server.waiting.push({
			instance, work, sentAt: now, expected: othersAt(index) + workOf(instance, index) + work, firstEventAt: at,
		});
		this.#works[(instance * serverCount) + index]! += work;
		if (now >= warmupMilliseconds) {
			this.#answers.push({work, wait: at - now, server: index});
		}
	}

	#finish(now: number): void {
		for (const [index, {waiting}] of this.#servers.entries()) {
			while (waiting[0] !== undefined && waiting[0].firstEventAt <= now) {
				const {instance, work, sentAt, expected, firstEventAt: at} = waiting.shift()!;
				const cell = (instance * serverCount) + index;
				this.#works[cell] = Math.max(0, this.#works[cell]! - work);
				this.#untold[2 * cell]! += at - sentAt;
				this.#untold[(2 * cell) + 1]! += expected;
				this.#speeds[instance]!.record(this.#ids[index]!, {observed: at - sentAt, expected, now: at});
			}
		}
	}

	#report(now: number): void {
		const {instances, lostShare = 0, silentFrom = Infinity} = this.#options;
		this.#recordWaits(now);
		if (now >= silentFrom && now < silentFrom + silenceMilliseconds) {
			return;
		}

		this.#reported = Float64Array.from(this.#reported);
		const decay = Math.exp(-this.#pictureTimes.interval / sampleMilliseconds);
		for (let server = 0; server < serverCount; server++) {
			this.#observed[server]! *= decay;
			this.#expected[server]! *= decay;
		}

		const totals = new Float64Array(serverCount);
		for (let instance = 0; instance < instances; instance++) {
			const isLost = lostShare > 0 && this.#random() < lostShare;
			for (let server = 0; server < serverCount; server++) {
				const cell = (instance * serverCount) + server;
				if (!isLost) {
					this.#reported[cell] = this.#works[cell]!;
					this.#observed[server]! += this.#untold[2 * cell]!;
					this.#expected[server]! += this.#untold[(2 * cell) + 1]!;
					this.#untold[2 * cell] = 0;
					this.#untold[(2 * cell) + 1] = 0;
				}

				totals[server]! += this.#reported[cell]!;
			}
		}

		const slowness = this.#observed.map((observed, server) => (observed + priorMilliseconds) / (this.#expected[server]! + priorMilliseconds));
		this.#pictures.push({
			at: now, totals, reported: this.#reported, slowness,
		});
	}

	#recordWaits(now: number): void {
		if (now < warmupMilliseconds) {
			return;
		}

		this.#ticks++;
		for (const {speed, freeAt} of this.#servers) {
			const share = this.#servers.filter(other => other.speed === speed).length;
			this.#waits.set(speed, (this.#waits.get(speed) ?? 0) + (Math.max(0, freeAt - now) / share));
		}
	}

	/** Returns the newest picture that has arrived, unless it is stale. */
	#pictureAt(now: number): Picture | undefined {
		const {delay} = this.#pictureTimes;
		while (this.#pictures[1] !== undefined && this.#pictures[1].at + delay <= now) {
			this.#pictures.shift();
		}

		const picture = this.#pictures[0];
		return picture === undefined || picture.at + delay > now || now - picture.at > staleMilliseconds ? undefined : picture;
	}
}

function harmonicMean(values: Float64Array): number {
	let sum = 0;
	for (const value of values) {
		sum += 1 / value;
	}

	return values.length / sum;
}
