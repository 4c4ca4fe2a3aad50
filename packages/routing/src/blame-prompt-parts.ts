import {type PromptPartFingerprint} from '@valehitch/core';
import {addAll} from './_add-all.js';

/** A part of prompts that was in progress on servers whose processes exited, and that no server has answered completely since. */
export type SuspectedPart = {
	readonly fingerprint: PromptPartFingerprint;
	/** Its position in prompts, from 0; the first parts are shared by the most requests. */
	readonly depth: number;
	/** Whether a server answered a prompt with it completely before the exits. */
	readonly wasAnswered: boolean;
	/** The processes that exited. */
	readonly processes: ReadonlySet<string>;
};

/** Options of {@linkcode blamePromptParts}. */
export type BlamePromptPartsOptions = {
	/** Whether the exits of some processes are enough for a verdict. */
	readonly isProof: (processes: readonly string[]) => boolean;
};

/** How many exits that no other blamed part explains are needed to blame a part for these and for those that it shares with others. */
const minimumUnexplained = 2;

/**
Chooses the parts of prompts that explain why servers exited, such that few parts explain all exits that any part can explain.

A part that is merely often beside a crashing one shares its exits, so that its number of exits alone proves nothing: each exit counts against one part. A part that was answered before is blamed only for exits that no other part explains. Of two parts that explain the same exits the deeper one is blamed, since fewer requests contain it.

The parts are chosen greedily by the exits that they explain (Chvátal, "A greedy heuristic for the set-covering problem", 1979). A part whose exits the other chosen ones explain too, as one that two crashing parts have in common, is then dropped again.

@param parts The suspected parts.
@param options What is enough for a verdict.
@returns The parts to blame.
@example
```ts
const parts = [{fingerprint, depth: 1, wasAnswered: false, processes: new Set(['a', 'b', 'c'])}];
blamePromptParts(parts, {isProof: ({length}) => length >= 3}).has(fingerprint); // true
```
*/
export function blamePromptParts(parts: readonly SuspectedPart[], {isProof}: BlamePromptPartsOptions): ReadonlySet<PromptPartFingerprint> {
	const candidates = parts.filter(({processes}) => isProof([...processes]));
	const blamed = new Set<PromptPartFingerprint>();
	const explained = new Set<string>();
	for (const wasAnswered of [false, true]) {
		const cover = dropRedundant(chooseCover(candidates.filter(part => part.wasAnswered === wasAnswered), explained));
		for (const {fingerprint, processes} of cover.toSorted(compareParts)) {
			const unexplained = without(processes, explained);
			if (wasAnswered ? isProof([...unexplained]) : unexplained.size >= minimumUnexplained) {
				blamed.add(fingerprint);
				addAll(explained, processes);
			}
		}
	}

	return blamed;
}

/** Chooses parts until they explain all exits that any candidate explains, each time the one that explains the most of the rest. */
function chooseCover(candidates: readonly SuspectedPart[], alreadyExplained: ReadonlySet<string>): readonly SuspectedPart[] {
	const cover: SuspectedPart[] = [];
	const explained = new Set(alreadyExplained);
	let rest = candidates;
	while (rest.length > 0) {
		const remaining = rest
			.map(part => ({part, processes: without(part.processes, explained)}))
			.filter(({processes}) => processes.size > 0)
			.toSorted((one, other) => other.processes.size - one.processes.size || compareParts(one.part, other.part));
		const [best] = remaining;
		if (best !== undefined) {
			cover.push(best.part);
			addAll(explained, best.processes);
		}

		rest = remaining.slice(1).map(({part}) => part);
	}

	return cover;
}

/** Drops the parts whose exits the others explain too, beginning with those that most requests contain. */
function dropRedundant(cover: readonly SuspectedPart[]): readonly SuspectedPart[] {
	let kept = cover;
	for (const part of cover.toSorted((one, other) => one.depth - other.depth)) {
		const others = kept.filter(other => other !== part);
		const explained = new Set(others.flatMap(({processes}) => [...processes]));
		if (without(part.processes, explained).size === 0) {
			kept = others;
		}
	}

	return kept;
}

/** Orders parts by the number of their exits, then by depth. The order is the same at all instances. */
function compareParts(one: SuspectedPart, other: SuspectedPart): number {
	return other.processes.size - one.processes.size || other.depth - one.depth || (one.fingerprint < other.fingerprint ? -1 : 1);
}

function without(processes: ReadonlySet<string>, excluded: ReadonlySet<string>): ReadonlySet<string> {
	return new Set([...processes].filter(process => !excluded.has(process)));
}
