import {type PromptPartFingerprint, type RequestFingerprint} from '@valehitch/core';
import {addAll} from './_add-all.js';

/** The processes that exited during a request or a part of prompts, and when, in milliseconds since the epoch. */
export type ExitTimes = ReadonlyMap<string, number>;

/** A request that was in progress on servers whose processes exited. */
export type SuspectedRequest = {
	readonly fingerprint: RequestFingerprint;
	/** The parts of its prompt that other prompts can have too. */
	readonly parts: readonly PromptPartFingerprint[];
	readonly exits: ExitTimes;
};

/** A part of prompts that was in progress on servers whose processes exited. */
export type PartExits = {
	readonly fingerprint: PromptPartFingerprint;
	readonly exits: ExitTimes;
};

/** Options of {@linkcode blameRequests}. */
export type BlameRequestsOptions = {
	/** The parts that were in progress at each process. */
	readonly partsAt: ReadonlyMap<string, readonly PartExits[]>;
	/** The number of exits that are needed for a verdict, and that no other blamed request may explain. */
	readonly threshold: number;
	/** Whether exits at some times are enough for a verdict. */
	readonly isProof: (times: readonly number[]) => boolean;
};

/** How far the observations of one exit by several instances may be apart, in milliseconds. */
const toleranceMilliseconds = 100;

type Candidate = SuspectedRequest & {
	/** When the last exit that was needed for a verdict happened. */
	readonly provenAt: number;
};

/**
Chooses the requests to blame for the exits of server processes, such that few requests explain all exits that requests can explain.

An exit counts against a request unless a part of prompts explains it better:

- a part of its own prompt that has more exits;
- another part that has more exits, or the same number without one that a request proven before explains. Of these only exits up to the last one of the request count, since a quarantined request is sent to no server and has no further exits, whereas the parts beside it are still in use.

Requests with the same exits are blamed together.

@param requests The suspected requests.
@param options What is known of parts, and what is enough for a verdict.
@returns The requests to blame.
@example
```ts
const requests = [{fingerprint, parts: [], exits: new Map([['a', 0], ['b', 500], ['c', 1000]])}];
blameRequests(requests, {partsAt: new Map(), threshold: 3, isProof: ({length}) => length >= 3}).length; // 1
```
*/
export function blameRequests(requests: readonly SuspectedRequest[], options: BlameRequestsOptions): readonly SuspectedRequest[] {
	const proven = chooseProven(requests, options);
	const cover = dropRedundant(chooseCover(proven));
	const explained = new Set<string>();
	const blamed: Candidate[] = [];
	for (const candidate of cover.toSorted(compareCandidates)) {
		if (without(candidate.exits, explained).length >= options.threshold) {
			blamed.push(candidate);
			addAll(explained, candidate.exits.keys());
		}
	}

	return proven.filter(({exits}) => blamed.some(other => other.exits.size === exits.size && without(exits, other.exits).length === 0));
}

/** Chooses the requests with enough exits that no part explains better, in the order in which the evidence against them was complete. */
function chooseProven(requests: readonly SuspectedRequest[], {partsAt, threshold, isProof}: BlameRequestsOptions): readonly Candidate[] {
	const proven: Candidate[] = [];
	const explained = new Set<string>();
	const candidates = requests
		.filter(({exits}) => exits.size >= threshold)
		.map(request => ({...request, provenAt: [...request.exits.values()].toSorted((one, other) => one - other)[threshold - 1]!}))
		.toSorted((one, other) => one.provenAt - other.provenAt || compareCandidates(one, other));
	for (const candidate of candidates) {
		const parts = new Set([...candidate.exits.keys()].flatMap(process => partsAt.get(process) ?? []));
		const better = [...parts].filter(part => isBetterExplanation(part, candidate, explained));
		const own = [...candidate.exits].filter(([process]) => !better.some(({exits}) => exits.has(process)));
		if (isProof(own.map(([, at]) => at))) {
			proven.push(candidate);
			addAll(explained, candidate.exits.keys());
		}
	}

	return proven;
}

/** Chooses requests until they explain all exits that any of them explains, each time the one that explains the most of the rest. */
function chooseCover(candidates: readonly Candidate[]): readonly Candidate[] {
	const cover: Candidate[] = [];
	const explained = new Set<string>();
	let rest = candidates;
	while (rest.length > 0) {
		const remaining = rest
			.map(candidate => ({candidate, count: without(candidate.exits, explained).length}))
			.filter(({count}) => count > 0)
			.toSorted((one, other) => other.count - one.count || compareCandidates(one.candidate, other.candidate));
		const [best] = remaining;
		if (best !== undefined) {
			cover.push(best.candidate);
			addAll(explained, best.candidate.exits.keys());
		}

		rest = remaining.slice(1).map(({candidate}) => candidate);
	}

	return cover;
}

/** Drops the requests whose exits the others explain too, beginning with those that were proven last. */
function dropRedundant(cover: readonly Candidate[]): readonly Candidate[] {
	let kept = cover;
	for (const candidate of cover.toSorted((one, other) => other.provenAt - one.provenAt)) {
		const others = kept.filter(other => other !== candidate);
		const explained = new Set(others.flatMap(({exits}) => [...exits.keys()]));
		if (without(candidate.exits, explained).length === 0) {
			kept = others;
		}
	}

	return kept;
}

/** Orders requests by the number of their exits, then by the time at which they were proven. The order is the same at all instances. */
function compareCandidates(one: Candidate, other: Candidate): number {
	return other.exits.size - one.exits.size || one.provenAt - other.provenAt || (one.fingerprint < other.fingerprint ? -1 : 1);
}

/** Returns the processes whose exits are not explained. */
function without(exits: ExitTimes, explained: Pick<ReadonlySet<string>, 'has'>): readonly string[] {
	return [...exits.keys()].filter(process => !explained.has(process));
}

/** Checks whether a part explains the exits that it shares with a request better than the request does. */
function isBetterExplanation(part: PartExits, {parts, exits}: SuspectedRequest, explained: ReadonlySet<string>): boolean {
	if (part.exits.size < exits.size || parts.includes(part.fingerprint)) {
		return part.exits.size > exits.size;
	}

	const lastExitAt = Math.max(...exits.values()) + toleranceMilliseconds;
	const counted = [...part.exits].filter(([process, at]) => at <= lastExitAt || exits.has(process));
	const unexplained = counted.filter(([process]) => !explained.has(process));
	return unexplained.length > exits.size || (unexplained.length === exits.size && unexplained.length === counted.length);
}
