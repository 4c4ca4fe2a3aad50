import {type PromptPartFingerprint, type RequestFingerprint} from '@valehitch/core';
import {addAll} from './_add-all.js';
import {type ExitTimes} from './_suspect-subject.js';

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
	/** Whether a server answered a prompt with it completely before the exits. */
	readonly wasAnswered: boolean;
};

/** Options of {@linkcode blameRequests}. */
export type BlameRequestsOptions = {
	/** The parts that have enough exits for a verdict. */
	readonly parts: readonly PartExits[];
	/** The number of exits that are needed for a verdict, and that no other blamed request may explain. */
	readonly threshold: number;
	/** The number of exits that are kept of a request, the latest ones. */
	readonly maximumExits: number;
	/** Whether exits at some times are enough for a verdict on a request. */
	readonly isProof: (times: readonly number[]) => boolean;
	/** Whether exits at some times are enough for a verdict on a part. */
	readonly isPartProof: (times: readonly number[]) => boolean;
};

/** How long after the last exit of a request other exits of a part still count, in milliseconds: until all instances know the verdict the request is still sent, and a part that crashes servers soon has further exits. */
const comparedMilliseconds = 500;

type Candidate = SuspectedRequest & {
	/** When the last exit that was needed for a verdict happened. */
	readonly provenAt: number;
	/** From when on exits of parts count that are not in the request, in milliseconds since the epoch: its earlier ones may not be kept. */
	readonly comparedFrom: number;
	/** Until when exits of other parts count that are not in the request, in milliseconds since the epoch. */
	readonly comparedUntil: number;
};

type PartIndex = ReadonlyMap<string, readonly PartExits[]>;

/**
Chooses the requests to blame for the exits of server processes, such that few requests explain all exits that requests can explain.

An exit counts against a request unless a part of prompts explains it better:

- a part of its own prompt that has more exits;
- another part, without an answer before, that has more exits, or the same number without one that a request proven before explains. Of these only exits until shortly after the last one of the request count, since a quarantined request is sent to no server and has no further exits, whereas the parts beside it are still in use;
- a part without an answer before that is proven by exits that no blamed request explains.

Requests with the same exits are blamed together.

@param requests The suspected requests.
@param options What is known of parts, and what is enough for a verdict.
@returns The requests to blame.
@example
```ts
const requests = [{fingerprint, parts: [], exits: new Map([['a', 0], ['b', 500], ['c', 1000]])}];
blameRequests(requests, {parts: [], threshold: 3, maximumExits: 8, isProof: ({length}) => length >= 3, isPartProof: () => false}).length; // 1
```
*/
export function blameRequests(requests: readonly SuspectedRequest[], options: BlameRequestsOptions): readonly SuspectedRequest[] {
	const proven = chooseProven(requests, options);
	const cover = dropRedundant(chooseCover(withDistinctExits(proven)));
	const explained = new Set<string>();
	const blamed: Candidate[] = [];
	for (const candidate of cover.toSorted(compareCandidates)) {
		if (countOutside(candidate.exits, explained) >= options.threshold) {
			blamed.push(candidate);
			addAll(explained, candidate.exits.keys());
		}
	}

	const kept = new Set(dropExplainedByParts(blamed, options).map(({exits}) => keyOf(exits)));
	return proven.filter(({exits}) => kept.has(keyOf(exits)));
}

/** Chooses the requests with enough exits that no part explains better, in the order in which the evidence against them was complete. */
function chooseProven(requests: readonly SuspectedRequest[], {parts, threshold, maximumExits, isProof}: BlameRequestsOptions): readonly Candidate[] {
	const index = indexParts(parts);
	const proven: Candidate[] = [];
	const explained = new Set<string>();
	const candidates = requests
		.filter(({exits}) => exits.size >= threshold)
		.map(request => createCandidate(request, {threshold, maximumExits}))
		.toSorted((one, other) => one.provenAt - other.provenAt || compareCandidates(one, other));
	for (const candidate of candidates) {
		const own = ownExits(candidate, {index, explained, threshold});
		if (isProof([...own.values()])) {
			proven.push(candidate);
			addAll(explained, candidate.exits.keys());
		}
	}

	return proven;
}

function createCandidate(request: SuspectedRequest, {threshold, maximumExits}: Pick<BlameRequestsOptions, 'threshold' | 'maximumExits'>): Candidate {
	const times = [...request.exits.values()];
	return {
		...request,
		provenAt: times[threshold - 1]!,
		comparedFrom: times.length < maximumExits ? Number.NEGATIVE_INFINITY : times[0]!,
		comparedUntil: times.at(-1)! + comparedMilliseconds,
	};
}

/** Returns the parts that were in progress at each process, those with the most exits first. */
function indexParts(parts: readonly PartExits[]): PartIndex {
	const index = new Map<string, PartExits[]>();
	for (const part of parts.toSorted((one, other) => other.exits.size - one.exits.size)) {
		for (const process of part.exits.keys()) {
			const partsAt = index.get(process) ?? [];
			partsAt.push(part);
			index.set(process, partsAt);
		}
	}

	return index;
}

type OwnExitsOptions = Pick<BlameRequestsOptions, 'threshold'> & {
	readonly index: PartIndex;
	/** The processes whose exits are explained by requests that were proven before. */
	readonly explained: ReadonlySet<string>;
};

/** Returns the exits that no part explains better, or some of them where they are too few for a verdict. */
function ownExits(candidate: Candidate, {index, explained, threshold}: OwnExitsOptions): ExitTimes {
	const own = new Map(candidate.exits);
	const compared = new Set<PartExits>();
	for (const process of candidate.exits.keys()) {
		for (const part of index.get(process) ?? []) {
			if (own.size < threshold || part.exits.size < candidate.exits.size || !own.has(process)) {
				break;
			}

			if (!compared.has(part) && isBetterExplanation(part, candidate, explained)) {
				deleteAll(own, part.exits.keys());
			}

			compared.add(part);
		}
	}

	return own;
}

/** Checks whether a part with at least as many exits as a request explains those that both have better than the request does. */
function isBetterExplanation(part: PartExits, {parts, exits, comparedFrom, comparedUntil}: Candidate, explained: ReadonlySet<string>): boolean {
	if (parts.includes(part.fingerprint)) {
		return part.exits.size > exits.size && countSince(part.exits, comparedFrom) > exits.size;
	}

	if (part.wasAnswered) {
		return false;
	}

	let [counted, unexplained] = [0, 0];
	for (const [process, at] of part.exits) {
		if (exits.has(process) || (at >= comparedFrom && at <= comparedUntil)) {
			counted++;
			unexplained += explained.has(process) ? 0 : 1;
		}
	}

	return unexplained > exits.size || (unexplained === exits.size && unexplained === counted);
}

/** Keeps one of the requests with the same exits. */
function withDistinctExits(candidates: readonly Candidate[]): readonly Candidate[] {
	const distinct = new Map<string, Candidate>();
	for (const candidate of candidates.toSorted(compareCandidates)) {
		const key = keyOf(candidate.exits);
		distinct.set(key, distinct.get(key) ?? candidate);
	}

	return [...distinct.values()];
}

/** Chooses requests until they explain all exits that any of them explains, each time the one that explains the most of the rest. */
function chooseCover(candidates: readonly Candidate[]): readonly Candidate[] {
	const cover: Candidate[] = [];
	const explained = new Set<string>();
	let rest = candidates.map(candidate => ({candidate, count: candidate.exits.size}));
	while (rest.length > 0) {
		let best = rest[0]!;
		for (const other of rest) {
			if (other.count > best.count || (other.count === best.count && compareCandidates(other.candidate, best.candidate) < 0)) {
				best = other;
			}
		}

		cover.push(best.candidate);
		addAll(explained, best.candidate.exits.keys());
		rest = rest.map(({candidate}) => ({candidate, count: countOutside(candidate.exits, explained)})).filter(({count}) => count > 0);
	}

	return cover;
}

/** Drops the requests whose exits the others explain too, beginning with those that were proven last. */
function dropRedundant(cover: readonly Candidate[]): readonly Candidate[] {
	let kept = cover;
	for (const candidate of cover.toSorted((one, other) => other.provenAt - one.provenAt)) {
		const others = kept.filter(other => other !== candidate);
		if (countOutside(candidate.exits, processesOf(others)) === 0) {
			kept = others;
		}
	}

	return kept;
}

/** Drops the requests of which too few exits are left without those of parts that are proven by exits that no blamed request explains. */
function dropExplainedByParts(blamed: readonly Candidate[], {parts, isProof, isPartProof}: BlameRequestsOptions): readonly Candidate[] {
	let kept = blamed;
	let previous = -1;
	while (kept.length > 0 && kept.length !== previous) {
		previous = kept.length;
		const explained = processesOf(kept);
		const independent = parts.filter(part => !part.wasAnswered && isPartProof(timesOutside(part.exits, explained)));
		const explainedByParts = processesOf(independent);
		kept = kept.filter(({exits}) => isProof(timesOutside(exits, explainedByParts)));
	}

	return kept;
}

/** Orders requests by the number of their exits, then by the time at which they were proven. The order is the same at all instances. */
function compareCandidates(one: Candidate, other: Candidate): number {
	return other.exits.size - one.exits.size || one.provenAt - other.provenAt || (one.fingerprint < other.fingerprint ? -1 : 1);
}

function keyOf(exits: ExitTimes): string {
	return JSON.stringify([...exits.keys()].toSorted());
}

function processesOf(subjects: ReadonlyArray<Pick<PartExits, 'exits'>>): ReadonlySet<string> {
	return new Set(subjects.flatMap(({exits}) => [...exits.keys()]));
}

function countSince(exits: ExitTimes, time: number): number {
	let count = 0;
	for (const at of exits.values()) {
		count += at >= time ? 1 : 0;
	}

	return count;
}

function timesOutside(exits: ExitTimes, explained: ReadonlySet<string>): readonly number[] {
	return [...exits].filter(([process]) => !explained.has(process)).map(([, at]) => at);
}

function countOutside(exits: ExitTimes, explained: ReadonlySet<string>): number {
	let count = 0;
	for (const process of exits.keys()) {
		count += explained.has(process) ? 0 : 1;
	}

	return count;
}

function deleteAll(target: Map<string, number>, processes: Iterable<string>): void {
	for (const process of processes) {
		target.delete(process);
	}
}
