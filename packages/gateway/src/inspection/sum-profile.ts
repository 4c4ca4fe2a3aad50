import {groupOfCall, groupOfModule} from './profile-groups.js';

/** A function as the profiler names it. */
export type CallFrame = {
	readonly functionName: string;
	/** The file or URL of the script; empty for the runtime's own states, such as `(idle)`. */
	readonly url: string;
	/** Counted from 0. */
	readonly lineNumber: number;
	/** Counted from 0. */
	readonly columnNumber: number;
};

/** A CPU profile of the engine. All times are in microseconds. */
export type CpuProfile = {
	readonly nodes: ReadonlyArray<{
		readonly id: number;
		readonly callFrame: CallFrame;
		readonly children?: readonly number[] | undefined;
	}>;
	readonly startTime: number;
	readonly endTime: number;
	/** The nodes that were on top of the stack, by their ids. */
	readonly samples?: readonly number[] | undefined;
	/** The time before each sample, counted from the previous one. */
	readonly timeDeltas?: readonly number[] | undefined;
};

/** Where the code of a function stands. */
export type CodeLocation = {
	/** The package and the path of the module, such as `gateway/entry/relay-stream`, or the script as the engine names it. */
	readonly module: string;
	/** The line in the source, counted from 1; undefined if there is none. */
	readonly line: number | undefined;
};

/** The time of one group or function. */
export type TimeShare = {
	readonly name: string;
	readonly milliseconds: number;
	/** The share of the duration of the profile, from 0 to 1. */
	readonly share: number;
};

/** The time of a process over a profile. Groups and functions each sum to the whole duration. */
export type ProfileSummary = {
	readonly milliseconds: number;
	/** The groups, the largest first. */
	readonly groups: readonly TimeShare[];
	/** The functions with the most time of their own, the largest first, and the sum of all others. */
	readonly functions: readonly TimeShare[];
};

/** Options of {@linkcode sumProfile}. */
export type SumProfileOptions = {
	/** Returns where the code of a function stands. */
	readonly locate: (frame: CallFrame) => CodeLocation;
	/** How many functions are listed; 30 by default. */
	readonly functionCount?: number;
};

/** The groups of the states in which no function of a module runs. */
const stateGroups: ReadonlyMap<string, string> = new Map([
	['(idle)', 'idle'],
	['(garbage collector)', 'garbage collection'],
	['(program)', 'runtime'],
	['(root)', 'runtime'],
]);
const runtimeGroup = 'runtime';
const otherFunctions = 'other functions';
const microsecondsPerMillisecond = 1000;

/**
Sums the time of a profile by groups of modules, and each function's own time.

@param profile The profile.
@param options How functions are located, and how many are listed.
@returns The sums.
@example
```ts
sumProfile(profile, {locate}).groups[0]; // {name: 'idle', milliseconds: 3100, share: 0.62}
```
*/
export function sumProfile(profile: CpuProfile, {locate, functionCount = 30}: SumProfileOptions): ProfileSummary {
	const ownTimes = sumOwnTimes(profile);
	const groupNames = groupsOfNodes(profile, locate);
	const groups = new Map<string, number>();
	const functions = new Map<string, number>();
	for (const {id, callFrame} of profile.nodes) {
		const time = ownTimes.get(id) ?? 0;
		if (time > 0) {
			add(groups, groupNames.get(id) ?? runtimeGroup, time);
			add(functions, nameOf(callFrame, locate), time);
		}
	}

	const duration = profile.endTime - profile.startTime;
	return {
		milliseconds: duration / microsecondsPerMillisecond,
		groups: toShares(groups, duration),
		functions: withRest(toShares(functions, duration), functionCount),
	};
}

/** Returns the time of each node in microseconds. A sample stands for the time until the next one, and the first also for that before it. */
function sumOwnTimes({samples = [], timeDeltas = [], startTime, endTime}: CpuProfile): ReadonlyMap<number, number> {
	const times = new Map<number, number>();
	let from = startTime;
	let sampledAt = startTime;
	for (const [index, id] of samples.entries()) {
		sampledAt += timeDeltas[index] ?? 0;
		const nextDelta = timeDeltas[index + 1];
		const until = nextDelta === undefined || index === samples.length - 1 ? endTime : sampledAt + nextDelta;
		add(times, id, until - from);
		from = until;
	}

	return times;
}

function groupsOfNodes({nodes}: CpuProfile, locate: SumProfileOptions['locate']): ReadonlyMap<number, string> {
	const groups = new Map<number, string>();
	const callers = new Map<number, number>();
	// The engine lists each node before its children.
	for (const {id, callFrame, children = []} of nodes) {
		const caller = callers.get(id);
		const group = groupOfFrame(callFrame, {locate, callerGroup: caller === undefined ? undefined : groups.get(caller)});
		if (group !== undefined) {
			groups.set(id, group);
		}

		for (const child of children) {
			callers.set(child, id);
		}
	}

	return groups;
}

function groupOfFrame(frame: CallFrame, {locate, callerGroup}: Pick<SumProfileOptions, 'locate'> & {readonly callerGroup: string | undefined}): string | undefined {
	if (frame.functionName === '(root)') {
		return undefined;
	}

	return stateGroups.get(frame.functionName) ?? groupOfCall(groupOfModule(locate(frame).module), callerGroup);
}

function nameOf(frame: CallFrame, locate: SumProfileOptions['locate']): string {
	if (stateGroups.has(frame.functionName)) {
		return frame.functionName;
	}

	const {module, line} = locate(frame);
	const name = frame.functionName === '' ? '(anonymous)' : frame.functionName;
	const place = line === undefined ? module : `${module}:${line}`;
	return place === '' ? name : `${name} ${place}`;
}

function toShares(times: ReadonlyMap<string, number>, duration: number): readonly TimeShare[] {
	return [...times]
		.toSorted(([, one], [, other]) => other - one)
		.map(([name, time]) => ({name, milliseconds: time / microsecondsPerMillisecond, share: time / duration}));
}

function withRest(shares: readonly TimeShare[], count: number): readonly TimeShare[] {
	if (shares.length <= count) {
		return shares;
	}

	let milliseconds = 0;
	let share = 0;
	for (const other of shares.slice(count)) {
		milliseconds += other.milliseconds;
		share += other.share;
	}

	return [...shares.slice(0, count), {name: otherFunctions, milliseconds, share}];
}

function add<Key>(sums: Map<Key, number>, key: Key, value: number): void {
	sums.set(key, (sums.get(key) ?? 0) + value);
}
