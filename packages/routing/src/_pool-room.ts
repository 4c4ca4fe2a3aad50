import {type ServerWork} from './pool-picture.js';

/** Returns the wait of a prompt at a server, in milliseconds. */
export function waitAt({reading, slowness}: ServerWork): number {
	return Math.max(0, reading * slowness);
}

/** Returns the mean wait at the servers, in milliseconds; a longer wait at a server counts as the longest. */
export function meanWait(servers: readonly ServerWork[], longest: number): number {
	let sum = 0;
	for (const server of servers) {
		sum += Math.min(longest, waitAt(server));
	}

	return sum / servers.length;
}

/** Returns the wait that half of the servers exceed, in milliseconds: what a few that are far behind, or a few false lengths of prompts, do not change. */
export function medianWait(servers: readonly ServerWork[]): number {
	const waits = servers.map(server => waitAt(server)).toSorted((one, other) => one - other);
	return waits[Math.floor(waits.length / 2)] ?? 0;
}

/** Returns the work that all servers take until their mean wait is the bound, in milliseconds at a server of mean speed. */
export function roomBelow(servers: readonly ServerWork[], {bound, longest}: {readonly bound: number; readonly longest: number}): number {
	let room = 0;
	for (const server of servers) {
		room += (bound - Math.min(Math.max(bound, longest), waitAt(server))) / server.slowness;
	}

	return Math.max(0, room);
}

/** Returns the work that the servers below a wait take until each reaches it, in milliseconds at a server of mean speed; those beyond it count for nothing. */
export function unusedBelow(servers: readonly ServerWork[], bound: number): number {
	let unused = 0;
	for (const server of servers) {
		unused += Math.max(0, bound - waitAt(server)) / server.slowness;
	}

	return unused;
}

/** Returns the work that all servers process in a millisecond, in milliseconds at a server of mean speed. */
export function processingRate(servers: readonly ServerWork[]): number {
	let rate = 0;
	for (const {slowness} of servers) {
		rate += 1 / slowness;
	}

	return rate;
}

/** Returns the work that exceeds the bound, in milliseconds at a server of mean speed. */
export function workAbove(servers: readonly ServerWork[], bound: number): number {
	let work = 0;
	for (const server of servers) {
		work += Math.max(0, waitAt(server) - bound) / server.slowness;
	}

	return work;
}
