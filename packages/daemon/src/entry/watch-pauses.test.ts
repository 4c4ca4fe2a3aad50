import {toId, type RequestId, type ServerId} from '@valehitch/core';
import test from 'ava';
import {ServerActivity} from './traffic/server-activity.js';
import {watchPauses, type WatchPausesContext} from './watch-pauses.js';

const server = toId<ServerId>('engine-1');

type World = {
	now: number;
	isKnown: boolean;
	isEjected: boolean;
	hasOther: boolean;
	areConnected: boolean;
};

function createWatch(state: Partial<World> = {}) {
	const world: World = {
		now: 0, isKnown: true, isEjected: false, hasOther: true, areConnected: true, ...state,
	};
	const logged: Array<Readonly<Record<string, unknown>>> = [];
	const activity = new ServerActivity();
	activity.recordData(server, -1);
	const context = {
		clock: {monotonic: () => world.now},
		log: {
			info(fields: Readonly<Record<string, unknown>>) {
				logged.push(fields);
			},
		},
		servers: {available: () => world.isKnown ? [{announcement: {server}}] : []},
		activity,
		serverSelector: {hasOther: () => world.hasOther, isEjected: () => world.isEjected},
		connections: {links: {of: () => world}},
	} as unknown as WatchPausesContext;
	const review = watchPauses(context, {
		requestId: toId<RequestId>('r-1'), attempt: 1, server, target: 'tag-small@1.0', deadline: 20_000, targetGap: 1000, resumeTime: 300,
	});
	/** Reviews a pause since the beginning, each 100 ms; returns when another server was asked, and why. */
	const resumedAt = (prepare: () => void = () => undefined): readonly [number, string] | undefined => {
		for (world.now = 1000; world.now <= 5000; world.now += 100) {
			prepare();
			const {type, reason} = review(world.now);
			if (type === 'resume-elsewhere') {
				return [world.now, reason];
			}
		}

		return undefined;
	};

	return {
		world, logged, activity, resumedAt,
	};
}

test('an engine that may only be silent for a moment is waited for, gets no requests meanwhile, and each decision is logged once', t => {
	const {logged, activity, resumedAt} = createWatch();
	t.false(activity.isSilent(server, 1001));
	t.deepEqual(resumedAt(), [2000, 'silent']);
	t.true(activity.isSilent(server, 1001));
	const common = {requestId: 'r-1', attempt: 1, server};
	t.deepEqual(logged, [
		{
			...common, decision: 'wait', reason: 'may-go-on', paused: 1000, timeLeft: 19_000,
		},
		{
			...common, decision: 'resume-elsewhere', reason: 'silent', paused: 2000, timeLeft: 18_000,
		},
	]);
});

test('an engine that goes on with other requests has overtaken the answer', t => {
	const {world, activity, resumedAt} = createWatch();
	t.deepEqual(resumedAt(() => {
		activity.recordData(server, world.now);
	}), [1300, 'overtaken']);
	t.false(activity.isSilent(server, world.now));
});

for (const [name, state] of [['is not known any more', {isKnown: false}], ['is ejected', {isEjected: true}]] as const) {
	test(`an engine that ${name} is not waited for`, t => {
		t.deepEqual(createWatch(state).resumedAt(), [1000, 'in-doubt']);
	});
}

test('links that fail during the answer put its engine in doubt, those that had failed before do not', t => {
	const {world, resumedAt} = createWatch();
	world.areConnected = false;
	t.deepEqual(resumedAt(), [1000, 'in-doubt']);
	t.deepEqual(createWatch({areConnected: false}).resumedAt(), [2000, 'silent']);
});

test('an answer that can go nowhere else is waited for until it can', t => {
	const {world, resumedAt} = createWatch({hasOther: false});
	t.deepEqual(resumedAt(() => {
		world.hasOther = world.now >= 3000;
	}), [3000, 'silent']);
});
