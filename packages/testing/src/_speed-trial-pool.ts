import {type RandomSource} from '@valehitch/core';

/** A prompt that was sent to a simulated server. */
export type SentPrompt = {
	readonly instance: number;
	/** Its processing time at a server of mean speed, in milliseconds. */
	readonly work: number;
	readonly sentAt: number;
	/** The time to the first event that a server of mean speed was expected to take, in milliseconds. */
	readonly expected: number;
	readonly firstEventAt: number;
};

/** A simulated server, which processes prompts one after the other. */
export type SimulatedServer = {
	readonly speed: number;
	/** When it begins to run at a third of its speed, in milliseconds. */
	readonly slowMoments: readonly number[];
	readonly waiting: SentPrompt[];
	freeAt: number;
};

export const serverCount = 42;
const announcedSpeeds = [0.7, 0.7, 1.7] as const;
const slowShare = 1 / 3;
const slowMilliseconds = 3000;
const slowEveryMilliseconds = 4000;
/** The step of the server that turns slow; prime to the number of servers. */
const slowStep = 13;

/**
Creates servers of different speeds with a mean of 1, of which one at a time runs at a third of its speed for three seconds.

@param milliseconds The simulated time.
@param speeds The speeds, in any unit, which the servers have in turn.
@returns The servers.
*/
export function createSpeedPool(milliseconds: number, speeds: readonly number[] = announcedSpeeds): readonly SimulatedServer[] {
	const mean = speeds.reduce((sum, speed) => sum + speed, 0) / speeds.length;
	const servers = Array.from({length: serverCount}, (_, index) => ({
		speed: speeds[index % speeds.length]! / mean, slowMoments: [] as number[], waiting: [], freeAt: 0,
	}));
	for (let at = slowEveryMilliseconds, index = 0; at < milliseconds; at += slowEveryMilliseconds, index += slowStep) {
		servers[index % serverCount]!.slowMoments.push(at);
	}

	return servers;
}

/**
Returns when a server will have processed a prompt that is sent now.

@param server The server.
@param options The work of the prompt at mean speed, and the time, in milliseconds.
@returns Milliseconds.
*/
export function firstEventAt({speed, slowMoments, freeAt}: SimulatedServer, {work, now}: {readonly work: number; readonly now: number}): number {
	let at = Math.max(now, freeAt);
	let left = work / speed;
	for (const slowFrom of slowMoments) {
		const slowUntil = slowFrom + slowMilliseconds;
		if (at >= slowUntil) {
			continue;
		}

		const before = Math.max(0, slowFrom - at);
		if (left <= before) {
			break;
		}

		left -= before;
		at += before;
		const during = (slowUntil - at) * slowShare;
		if (left <= during) {
			return at + (left / slowShare);
		}

		left -= during;
		at = slowUntil;
	}

	return at + left;
}

/** The kinds of prompts: their share, and the mean, spread and maximum of their work in milliseconds. */
const promptKinds = [
	{
		share: 0.6, mean: 10, spread: 1, maximum: 60,
	},
	{
		share: 0.25, mean: 60, spread: 1.2, maximum: 350,
	},
	{
		share: 0.15, mean: 350, spread: 1.2, maximum: 2500,
	},
] as const;

/**
Draws the work of a prompt: short ones, middle ones, and a few that carry most of the work.

@param random The random source.
@returns The processing time at a server of mean speed, in milliseconds.
*/
export function sampleWork(random: RandomSource): number {
	let draw = random();
	for (const {share, mean, spread, maximum} of promptKinds) {
		draw -= share;
		if (draw < 0) {
			return Math.min(maximum, mean * Math.exp((spread * sampleNormal(random)) - (spread * spread / 2)));
		}
	}

	return promptKinds[0].mean;
}

/** Draws from the normal distribution (Box and Muller, 1958). */
export function sampleNormal(random: RandomSource): number {
	return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
