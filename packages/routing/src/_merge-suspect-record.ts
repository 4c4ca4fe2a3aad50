import {isPromptPart} from './prompt-part-fingerprint.js';
import {type ServerExit, type SuspectRecord} from './suspect-record.js';

/** Enough exits per request for repeated quarantines within the hour. */
export const maximumExitsPerRequest = 8;
/** More than for a request: while a part is not known yet, requests with it run at many servers at the same time, and an exit that is left out would seem to have another cause. */
const maximumExitsPerPart = 32;

/** Returns the union of the exits of two records, limited to the latest ones, or undefined if the second adds nothing to the first. */
export function mergeExits(known: readonly ServerExit[], {fingerprint, ends: added}: SuspectRecord): readonly ServerExit[] | undefined {
	const merged = new Map(known.map(end => [end.process, end]));
	for (const end of added) {
		const before = merged.get(end.process);
		if (before === undefined || (end.isCleared && !before.isCleared)) {
			merged.set(end.process, {...end, at: before?.at ?? end.at});
		}
	}

	const limit = isPromptPart(fingerprint) ? maximumExitsPerPart : maximumExitsPerRequest;
	const ends = [...merged.values()].toSorted((one, other) => one.at - other.at).slice(-limit);
	return ends.every(end => known.includes(end)) ? undefined : ends;
}

/** Returns the union of two records of the same request or part. Only what is known is stored, so that stored records have the form that earlier versions read. */
export function mergeRecord(known: SuspectRecord | undefined, added: SuspectRecord, {ends}: Pick<SuspectRecord, 'ends'>): SuspectRecord {
	const parts = known?.parts ?? added.parts;
	const depth = largest(known?.depth, added.depth);
	const answeredAt = largest(known?.answeredAt, added.answeredAt);
	return {
		fingerprint: added.fingerprint, ends, ...(parts !== undefined && {parts}), ...(depth !== undefined && {depth}), ...(answeredAt !== undefined && {answeredAt}),
	};
}

function largest(one: number | undefined, other: number | undefined): number | undefined {
	return one === undefined || other === undefined ? one ?? other : Math.max(one, other);
}
