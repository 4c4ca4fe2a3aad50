import {type StalledDecision} from '@valehitch/routing';
import test from 'ava';
import {testServer} from '../servers/_test-server.js';
import {StallWatch, type StallWatchOptions} from './stall-watch.js';

type World = {
	now: number;
	heardAt: number;
	isInDoubt: boolean;
	areConnected: boolean;
};

function createWatch(options: Partial<StallWatchOptions> = {}) {
	const world: World = {
		now: 0, heardAt: 0, isInDoubt: false, areConnected: true,
	};
	const decisions: Array<readonly [StalledDecision['reason'], number]> = [];
	const watch = new StallWatch({
		clock: {now: () => new Date(), monotonic: () => world.now},
		servers: {heardAt: () => world.heardAt, isInDoubt: () => world.isInDoubt},
		links: {of: () => world},
	}, {
		server: testServer(),
		route: {targetGap: 1000, targetLatency: 2000},
		isRelayed: false,
		deadlineAt: 20_000,
		resumeTime: 300,
		canResumeElsewhere: () => true,
		onDecision({reason}, paused) {
			decisions.push([reason, paused]);
		},
		...options,
	});
	/** Looks at a pause since the beginning, each 100 ms up to a time; returns when the stream was found to be stalled. */
	const stalledAt = (until: number, heard: (now: number) => number = () => 0): number | undefined => {
		for (world.now = 1000; world.now <= until; world.now += 100) {
			world.heardAt = heard(world.now);
			if (watch.isStalled(world.now)) {
				return world.now;
			}
		}

		return undefined;
	};

	return {
		world, decisions, watch, stalledAt,
	};
}

test('a stream of a silent server is waited for as long as sound servers are silent', t => {
	const {decisions, stalledAt} = createWatch();
	t.is(stalledAt(5000), 2000);
	t.deepEqual(decisions, [['may-go-on', 1000], ['silent', 2000]]);
});

test('a stream whose server goes on with other requests is overtaken', t => {
	t.is(createWatch().stalledAt(5000, now => now - 10), 1300);
});

test('a server that sent to others before the stream was late, or once as it goes on, has not overtaken it', t => {
	t.is(createWatch().stalledAt(5000, () => 900), 2000);
	t.is(createWatch().stalledAt(1900, () => 1050), undefined);
});

test('a stream whose server is in doubt is not waited for', t => {
	const {world, stalledAt} = createWatch();
	world.isInDoubt = true;
	t.is(stalledAt(5000), 1000);
});

test('links that fail put a server in doubt unless the stream comes through another instance', t => {
	const own = createWatch();
	own.world.areConnected = false;
	t.is(own.stalledAt(5000), 1000);
	const relayed = createWatch({isRelayed: true});
	relayed.world.areConnected = false;
	t.is(relayed.stalledAt(5000), 2000);
});

test('a stream that can go nowhere else is told so once', t => {
	const {decisions, stalledAt} = createWatch({canResumeElsewhere: () => false});
	t.is(stalledAt(5000), undefined);
	t.deepEqual(decisions, [['may-go-on', 1000], ['nowhere-else', 2000]]);
});

test('each pause is decided on by itself', t => {
	const {world, decisions, watch} = createWatch();
	world.now = 1500;
	t.false(watch.isStalled(1500));
	world.now = 5000;
	t.false(watch.isStalled(1500));
	t.deepEqual(decisions, [['may-go-on', 1500], ['may-go-on', 1500]]);
});

test('a route without a target gap goes by its target latency', t => {
	const {watch} = createWatch({route: {targetGap: undefined, targetLatency: 700}});
	t.is(watch.targetGap, 700);
});
