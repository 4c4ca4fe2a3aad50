import {type ServerWork} from './pool-picture.js';

/** How many random servers the choice of a server compares. */
const sampleCount = 4;

/** Returns the wait of a prompt at a server, in milliseconds. */
export function waitAt({reading, slowness}: ServerWork): number {
	return Math.max(0, reading * slowness);
}

/** Returns the mean wait at the least loaded of a few random servers, in milliseconds. */
export function expectedWait(servers: readonly ServerWork[]): number {
	const waits = servers.map(server => waitAt(server)).toSorted((one, other) => one - other);
	let expected = 0;
	let previous = 0;
	for (const [index, wait] of waits.entries()) {
		// The probability that none of the sampled servers waits for less.
		expected += (wait - previous) * (((waits.length - index) / waits.length) ** sampleCount);
		previous = wait;
	}

	return expected;
}

/** Returns the shortest wait at any server, in milliseconds. */
export function shortestWait(servers: readonly ServerWork[]): number {
	return Math.min(...servers.map(server => waitAt(server)));
}

/** Returns the work that fits in below a wait, in milliseconds at a server of mean speed. */
export function roomBelow(servers: readonly ServerWork[], bound: number): number {
	let room = 0;
	for (const server of servers) {
		room += Math.max(0, bound - waitAt(server)) / server.slowness;
	}

	return room;
}

/** Returns the work that exceeds the bound, in milliseconds at a server of mean speed. */
export function workAbove(servers: readonly ServerWork[], bound: number): number {
	let work = 0;
	for (const server of servers) {
		work += Math.max(0, waitAt(server) - bound) / server.slowness;
	}

	return work;
}
