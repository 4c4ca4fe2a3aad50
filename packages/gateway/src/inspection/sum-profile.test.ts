import test from 'ava';
import {
	type CallFrame, type CpuProfile, type ProfileSummary, sumProfile,
} from './sum-profile.js';

function frame(functionName: string, url = ''): CallFrame {
	return {
		functionName, url, lineNumber: 11, columnNumber: 0,
	};
}

function locate({url, lineNumber}: CallFrame) {
	return {module: url, line: url === '' ? undefined : lineNumber + 1};
}

function groupTimes({groups}: ProfileSummary): Readonly<Record<string, number>> {
	return Object.fromEntries(groups.map(({name, milliseconds}) => [name, milliseconds]));
}

function total(shares: ProfileSummary['groups']): number {
	return shares.reduce((sum, {milliseconds}) => sum + milliseconds, 0);
}

const profile: CpuProfile = {
	nodes: [
		{id: 1, callFrame: frame('(root)'), children: [2, 3, 4, 5, 8, 11]},
		{id: 2, callFrame: frame('(idle)')},
		{id: 3, callFrame: frame('(garbage collector)')},
		{id: 4, callFrame: frame('(program)')},
		{id: 5, callFrame: frame('parserOnBody', 'node:_http_common'), children: [6]},
		{id: 6, callFrame: frame('forward', 'gateway/entry/relay-stream'), children: [7]},
		{id: 7, callFrame: frame('write', 'node:_http_outgoing')},
		{id: 8, callFrame: frame('flush', 'gateway/entry/load-exchange'), children: [9]},
		{id: 9, callFrame: frame('send', 'transport/peer-network'), children: [10]},
		{id: 10, callFrame: frame('pack', 'msgpackr/pack')},
		{id: 11, callFrame: frame('', 'routing/server-choice')},
	],
	startTime: 5000,
	endTime: 25_000,
	samples: [2, 3, 4, 5, 6, 7, 8, 9, 10, 11],
	timeDeltas: [500, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000],
};

test('the runtime counts for the module that called it, connections for the messages that they carry, and each state for itself', t => {
	const summary = sumProfile(profile, {locate});
	t.deepEqual(groupTimes(summary), {
		decisions: 10.5, 'messages: loads': 3, forwarding: 2, idle: 1.5, 'garbage collection': 1, runtime: 2,
	});
});

test('the groups and the functions each sum to the whole, however many functions are listed', t => {
	for (const functionCount of [0, 1, 3, 30]) {
		const {milliseconds, groups, functions} = sumProfile(profile, {locate, functionCount});
		t.is(milliseconds, 20);
		t.is(total(groups), 20);
		t.is(total(functions), 20);
		t.is(functions.length, Math.min(functionCount + 1, profile.nodes.length - 1));
	}
});

test('functions are listed by their own time with module and line', t => {
	const [first, second] = sumProfile(profile, {locate}).functions;
	t.deepEqual(first, {name: '(anonymous) routing/server-choice:12', milliseconds: 10.5, share: 0.525});
	t.is(second?.name, '(idle)');
});

test('a profile without samples has no groups', t => {
	const summary = sumProfile({nodes: [], startTime: 0, endTime: 1000}, {locate});
	t.deepEqual(summary, {milliseconds: 1, groups: [], functions: []});
});
