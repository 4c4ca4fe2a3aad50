import {
	type RequestId, type ServerId, toId, type WorkspaceId,
} from '@valehitch/core';
import test from 'ava';
import fc from 'fast-check';
import {type ContentionPool, contentionPool} from './contention-pool.js';
import {ContentionQueue, maximumHoldShare, releaseIntervalMilliseconds} from './contention-queue.js';
import {type ContentionRequest} from './contention-request.js';
import {seededRandom} from './_test-contention.js';
import {noPicture} from './no-picture.js';

const servers = 4;
/** With a third of it as the bound, servers have room up to a wait of 400 ms. */
const urgentTarget = 1200;
const boundShare = 1 / 3;

function poolOf(reading: number, changes: Partial<ContentionPool> = {}): ContentionPool {
	return {
		servers: Array.from({length: servers}, () => ({reading, streams: 0, slowness: 1})), age: 0, heldByOthers: [], urgentPriority: 0, urgentTarget, patientPriority: 2, ...changes,
	};
}

const busy = poolOf(500);
const calm = poolOf(100);

function requestOf(id: string, changes: Partial<ContentionRequest> = {}): ContentionRequest {
	return {
		id: toId<RequestId>(id), priority: 2, workspace: toId<WorkspaceId>('mills'), work: 100, targetLatency: 6000, arrivedAt: 0, deadlineAt: 25_000, ...changes,
	};
}

function newQueue(random = () => 0.5): ContentionQueue {
	return new ContentionQueue({random, boundShare});
}

/** Offers requests while the pool is busy, and returns the ids in the order of their release into the given pool within a time. */
function releaseOrder(requests: readonly ContentionRequest[], pool: ContentionPool, milliseconds = releaseIntervalMilliseconds): readonly string[] {
	const queue = newQueue();
	for (const request of requests) {
		queue.offer(request, {now: 0, pool: busy});
	}

	const released: string[] = [];
	for (let now = 0; now <= milliseconds; now += releaseIntervalMilliseconds) {
		released.push(...queue.release({now, pool}).map(({request: {id}}) => id));
	}

	return released;
}

test('a calm pool holds nothing and draws no random number', t => {
	const queue = newQueue(() => {
		throw new Error('No random number is expected');
	});
	t.deepEqual(queue.offer(requestOf('a'), {now: 0, pool: calm}), {type: 'send'});
	t.true(queue.isEmpty);
});

test('the most urgent requests are never held, and neither is one without a known pool', t => {
	const queue = newQueue();
	t.is(queue.offer(requestOf('a', {priority: 0}), {now: 0, pool: busy}).type, 'send');
	t.is(queue.offer(requestOf('b'), {now: 0, pool: undefined}).type, 'send');
	t.is(queue.offer(requestOf('c', {deadlineAt: 2900}), {now: 0, pool: busy}).type, 'send', 'its deadline is near');
	t.is(queue.offer(requestOf('d'), {now: 0, pool: busy}).type, 'held');
	t.deepEqual(queue.held, [{priority: 2, milliseconds: 100}]);
});

test('a picture that is too old counts as none', t => {
	const options = {servers: [toId<ServerId>('s1')], routes: [{priority: 1, targetLatency: 900}, {priority: 0, targetLatency: 700}, {priority: 0, targetLatency: 300}]};
	t.is(contentionPool(noPicture, options), undefined);
	t.is(contentionPool({...noPicture, age: 1501}, options), undefined);
	t.is(contentionPool({...noPicture, age: Number.NaN}, options), undefined);
	t.is(contentionPool({...noPicture, age: 400}, {...options, servers: []}), undefined);
	t.like(contentionPool({...noPicture, age: 1500}, options), {urgentPriority: 0, urgentTarget: 300, patientPriority: 1});
});

test('everything is released when the load of the pool is no longer known', t => {
	const queue = newQueue();
	queue.offer(requestOf('a'), {now: 0, pool: busy});
	t.like(queue.release({now: 40, pool: undefined}), [{reason: 'off'}]);
	t.true(queue.isEmpty);
});

test('requests are released by priority, then by the work of their workspaces, then by deadline', t => {
	const other = toId<WorkspaceId>('looms');
	t.deepEqual(releaseOrder([
		requestOf('mills-late', {deadlineAt: 25_000}),
		requestOf('mills-early', {deadlineAt: 24_000}),
		requestOf('looms', {workspace: other, deadlineAt: 25_000}),
		requestOf('urgent', {priority: 1, deadlineAt: 26_000}),
	], calm), ['urgent', 'mills-early', 'looms', 'mills-late']);
});

test('the room goes to more urgent work held elsewhere first, and is shared by held work', t => {
	const requests = Array.from({length: 40}, (_, index) => requestOf(`r${index}`));
	// In 200 ms, 4 servers process 200 ms each, and 300 ms are missing up to the bound.
	t.is(releaseOrder(requests, calm, 200).length, 20);
	t.is(releaseOrder(requests, poolOf(100, {heldByOthers: [{priority: 1, milliseconds: 1000}]}), 200).length, 10);
	t.is(releaseOrder(requests, poolOf(100, {heldByOthers: [{priority: 3, milliseconds: 9000}]}), 200).length, 20);
	const shared = releaseOrder(requests, poolOf(100, {heldByOthers: [{priority: 2, milliseconds: 4000}]}), 200).length;
	t.true(shared >= 9 && shared <= 10, `${shared} of half of the room`);
});

for (const instances of [1, 7, 84, 370]) {
	test(`${instances} instances that see the same room release about as much as fits in`, t => {
		const random = seededRandom(instances);
		const heldByEach = Math.ceil(370 / instances);
		const pool = poolOf(100, {heldByOthers: [{priority: 2, milliseconds: 100 * heldByEach * (instances - 1)}]});
		let released = 0;
		for (let instance = 0; instance < instances; instance++) {
			const queue = new ContentionQueue({random, boundShare});
			for (let index = 0; index < heldByEach; index++) {
				queue.offer(requestOf(`r${index}`), {now: 0, pool: busy});
			}

			for (let now = 0; now <= 200; now += releaseIntervalMilliseconds) {
				released += queue.release({now, pool}).length;
			}
		}

		// The room of 2000 ms takes 20 requests; three standard deviations of as many independent draws.
		t.true(Math.abs(released - 20) <= 13, `${released} were released`);
	});
}

test('no request is held for longer than a quarter of its target latency unless it can still meet its target when it is sent, and the least urgent are sent beside any number of others', t => {
	let heldForLonger = 0;
	const check = fc.property(fc.array(fc.record({
		priority: fc.integer({min: 1, max: 9}), work: fc.integer({min: 1, max: 4000}), targetLatency: fc.integer({min: 100, max: 8000}), arrivedAt: fc.integer({min: 0, max: 3000}),
	}), {maxLength: 60}), fc.array(fc.integer({min: 0, max: 3000}), {minLength: 1, maxLength: 4}), fc.integer({min: 0, max: 20_000}), (drawn, readings, heldElsewhere) => {
		const queue = newQueue();
		const poolAt = (now: number): ContentionPool => poolOf(readings[Math.floor(now / 2000) % readings.length]!, {heldByOthers: [{priority: 1, milliseconds: heldElsewhere}]});
		const requests = drawn.map((members, index) => requestOf(String(index), {...members, deadlineAt: members.arrivedAt + 60_000}));
		const waiting = new Set<ContentionRequest>();
		for (let now = 0; now < 12_000; now += releaseIntervalMilliseconds) {
			for (const {request} of queue.release({now, pool: poolAt(now)})) {
				waiting.delete(requests[Number(request.id)]!);
				const {arrivedAt, targetLatency, work} = request;
				const isLongHeld = now > arrivedAt + (maximumHoldShare * targetLatency);
				heldForLonger += isLongHeld ? 1 : 0;
				if (isLongHeld && now + work > arrivedAt + targetLatency) {
					return false;
				}
			}

			for (const request of requests) {
				const isNew = request.arrivedAt <= now && request.arrivedAt > now - releaseIntervalMilliseconds;
				if (isNew && queue.offer(request, {now, pool: poolAt(now)}).type === 'held') {
					waiting.add(request);
				}
			}
		}

		return waiting.size === 0;
	});
	t.notThrows(() => {
		fc.assert(check, {seed: 20_261_204, numRuns: 60});
	});
	t.true(heldForLonger > 0);
});

test('a request that is not predicted to be served in time is held for no longer than a quarter of its target latency', t => {
	const queue = newQueue();
	const pool = poolOf(500, {heldByOthers: [{priority: 2, milliseconds: 4 * 6000}]});
	t.like(queue.offer(requestOf('a'), {now: 0, pool}), {type: 'held', predicted: 6600});
	t.deepEqual(queue.release({now: 1440, pool: busy}), []);
	t.like(queue.release({now: 1480, pool: busy}), [{reason: 'time'}]);
});

test('a request that is predicted to be served in time is held for longer than a quarter of its target latency while less than the urgent target needs is free', t => {
	const queue = newQueue();
	const full = poolOf(650);
	t.like(queue.offer(requestOf('a'), {now: 0, pool: full}), {type: 'held', predicted: 750});
	for (let now = 0; now < 4600; now += releaseIntervalMilliseconds) {
		t.deepEqual(queue.release({now, pool: full}), []);
	}

	// 6000 ms less 100 ms of its own, 650 ms in the servers and a tenth of the target.
	t.like(queue.release({now: 4640, pool: full}), [{reason: 'time'}]);
});

test('patient requests are held while most servers are busy, though the least loaded ones are free', t => {
	const idle = {reading: 0, streams: 0, slowness: 1};
	const pool = poolOf(0, {servers: [idle, idle, idle, ...Array.from({length: 7}, () => ({...idle, reading: 1200}))]});
	t.is(newQueue().offer(requestOf('a'), {now: 0, pool}).type, 'held');
});

test('a single server that is far behind does not stop the release to the others', t => {
	const calmServers = Array.from({length: 9}, () => ({reading: 100, streams: 0, slowness: 1}));
	const pool = poolOf(0, {servers: [{reading: 1e7, streams: 0, slowness: 1}, ...calmServers]});
	t.is(newQueue().offer(requestOf('a'), {now: 0, pool}).type, 'send');
});

test('a request that can only just meet its target is sent before the room allows it', t => {
	const queue = newQueue();
	const pool = poolOf(5000);
	t.is(queue.offer(requestOf('a', {work: 500}), {now: 0, pool}).type, 'held');
	t.deepEqual(queue.release({now: 400, pool}), []);
	t.like(queue.release({now: 480, pool}), [{reason: 'time'}]);
});

test('a request that no server can serve before its deadline is rejected, with a delay until there is room within a third of its time', t => {
	const pool = poolOf(9000);
	const queue = newQueue(() => 1);
	const rejected = queue.offer(requestOf('a', {deadlineAt: 6000}), {now: 0, pool});
	t.deepEqual(rejected, {
		type: 'rejected', wait: 1800, bound: 400, room: 0, heldHere: 0, heldByOthers: 0, predicted: 9100, workBefore: 4 * 8600, overrun: 3100, retryAfterMilliseconds: 2000,
	});
	t.is(queue.offer(requestOf('b', {deadlineAt: 9000}), {now: 0, pool}).type, 'held', 'the prediction may be wrong by a quarter');
	const excess = poolOf(1200, {heldByOthers: [{priority: 1, milliseconds: 100}, {priority: 3, milliseconds: 9000}]});
	const soon = new ContentionQueue({random: () => 1, boundShare}).offer(requestOf('c', {work: 8000, deadlineAt: 7000}), {now: 0, pool: excess});
	// (4 * 800 ms that wait beyond the bound + 100 ms held elsewhere + 6000 ms of its own) / 4 servers, scattered by half.
	t.like(soon, {type: 'rejected', workBefore: 3300, retryAfterMilliseconds: 2333});
});

test('a request is not rejected for the wait that less urgent ones cause, which it may overtake', t => {
	t.is(newQueue().offer(requestOf('a', {priority: 1, targetLatency: 2000, deadlineAt: 5000}), {now: 0, pool: poolOf(9000)}).type, 'held');
});

test('a caller that returns after its delay meets room, once the work that is older or more urgent has gone before it', t => {
	const queue = new ContentionQueue({random: () => 0, boundShare});
	const heldByOthers = [{priority: 1, milliseconds: 1200}, {priority: 2, milliseconds: 2000}, {priority: 3, milliseconds: 1e6}];
	const delay = queue.retryAfter(requestOf('a'), {now: 0, pool: poolOf(1000, {heldByOthers})});
	// (4 * 600 ms beyond the bound + 3200 ms that are older or more urgent + 100 ms of its own) / 4 servers.
	t.is(delay, 1425);
	const readingAt = (now: number): number => 1000 + (3200 / servers) - now;
	t.is(queue.offer(requestOf('b'), {now: 1425, pool: poolOf(readingAt(1425))}).type, 'send');
	t.is(queue.offer(requestOf('c'), {now: 1225, pool: poolOf(readingAt(1225))}).type, 'held');
});

test('callers that are rejected at the same moment return at different times', t => {
	let random = 0;
	const queue = newQueue(() => {
		random += 0.1;
		return random;
	});
	const delays = Array.from({length: 9}, () => {
		const decision = queue.offer(requestOf('a', {work: 6000, deadlineAt: 5000}), {now: 0, pool: poolOf(800)});
		return decision.type === 'rejected' ? decision.retryAfterMilliseconds : undefined;
	});
	t.is(new Set(delays).size, 9);
});

test('a held request whose caller has left takes no room', t => {
	const queue = newQueue();
	queue.offer(requestOf('a'), {now: 0, pool: busy});
	queue.offer(requestOf('b'), {now: 0, pool: busy});
	queue.cancel(toId<RequestId>('a'));
	queue.cancel(toId<RequestId>('unknown'));
	t.deepEqual(queue.held, [{priority: 2, milliseconds: 100}]);
	queue.release({now: 0, pool: calm});
	t.deepEqual(queue.release({now: 40, pool: calm}).map(({request: {id}}) => id), ['b']);
});

test('absurd priorities, work and targets neither throw nor overtake, and the held work stays bounded', t => {
	const absurd = [Number.NaN, Number.NEGATIVE_INFINITY, -5, 1e300, Number.POSITIVE_INFINITY];
	const queue = newQueue();
	for (const [index, value] of absurd.entries()) {
		t.not(queue.offer(requestOf(`p${index}`, {priority: value}), {now: 0, pool: busy}).type, 'rejected');
		t.notThrows(() => queue.offer(requestOf(`w${index}`, {work: value}), {now: 0, pool: busy}));
		t.notThrows(() => queue.offer(requestOf(`t${index}`, {targetLatency: value, work: 10}), {now: 0, pool: busy}));
	}

	for (const {milliseconds} of queue.held) {
		t.true(milliseconds > 0 && milliseconds <= 15 * 6000);
	}

	t.deepEqual(queue.held.map(({priority}) => priority), [2, 9], 'a priority that cannot be read is the least urgent one');
	queue.release({now: 0, pool: calm});
	t.notThrows(() => queue.release({now: 60_000, pool: calm}));
});

test('no credit accrues while nothing is held or the process halts', t => {
	const queue = newQueue();
	const fill = (now: number): void => {
		for (let index = 0; index < 99; index++) {
			queue.offer(requestOf(`${now}-${index}`, {arrivedAt: now, deadlineAt: now + 25_000}), {now, pool: busy});
		}
	};

	fill(0);
	t.is(queue.release({now: 0, pool: calm}).length, 0);
	queue.release({now: 40, pool: undefined});
	fill(1000);
	t.is(queue.release({now: 1000, pool: calm}).length, 0, 'the time without held requests does not count');
	t.is(queue.release({now: 2000, pool: calm}).length, 10, 'at most 100 ms count');
});

test('a wrong picture of the work held elsewhere does not stop the release by time', t => {
	const queue = newQueue();
	const pool = poolOf(Number.NaN, {heldByOthers: [{priority: Number.NaN, milliseconds: Number.NaN}, {priority: 1, milliseconds: Number.POSITIVE_INFINITY}]});
	queue.offer(requestOf('a'), {now: 0, pool: busy});
	t.like(queue.release({now: 1500, pool}), [{request: {id: 'a'}}]);
});

test('a request whose deadline comes before its target is sent while it can still be answered by then', t => {
	const queue = newQueue();
	const full = poolOf(650);
	t.is(queue.offer(requestOf('a', {deadlineAt: 3500}), {now: 0, pool: full}).type, 'held');
	let sentAt = Number.POSITIVE_INFINITY;
	for (let now = 0; now < 6000; now += releaseIntervalMilliseconds) {
		if (queue.release({now, pool: full}).length > 0) {
			sentAt = now;
		}
	}

	// 100 ms of its own after 650 ms in the servers.
	t.true(sentAt + 650 + 100 <= 3500, `sent at ${sentAt}`);
});

test('a request that can still meet its target is not held until its whole answer cannot end by its deadline', t => {
	const queue = newQueue();
	const full = poolOf(650);
	queue.offer(requestOf('a', {deadlineAt: 8000, answerTime: 4000}), {now: 0, pool: full});
	for (let now = 0; now < 2600; now += releaseIntervalMilliseconds) {
		t.deepEqual(queue.release({now, pool: full}), []);
	}

	// 8000 ms less 4000 ms of the answer, 100 ms of its prompt, 650 ms in the servers and a tenth of the target.
	t.like(queue.release({now: 2640, pool: full}), [{reason: 'time'}]);
});

test('an absurd time of an answer neither throws nor holds a request for longer than a quarter of its target latency', t => {
	for (const answerTime of [Number.NaN, -1e9, Number.POSITIVE_INFINITY, 1e9]) {
		const queue = newQueue();
		const full = poolOf(650);
		const decision = queue.offer(requestOf('a', {deadlineAt: 8000, answerTime}), {now: 0, pool: full});
		t.is(decision.type, 'held');
		t.like(queue.release({now: answerTime > 0 ? 1480 : 4640, pool: full}), [{reason: 'time'}]);
	}
});

test('a request that a deadline before the target leaves too little time for counts as not predicted in time', t => {
	const queue = newQueue();
	const full = poolOf(650, {heldByOthers: [{priority: 2, milliseconds: 4 * 2900}]});
	t.is(queue.offer(requestOf('a', {deadlineAt: 3500}), {now: 0, pool: full}).type, 'held');
	t.like(queue.release({now: 1480, pool: full}), [{reason: 'time'}]);
});

test('a request is not rejected while servers without waiting prompts have room for it beside what is held', t => {
	const idle = {reading: 0, streams: 0, slowness: 1};
	const lost = {...idle, reading: 1e6};
	for (const known of [[idle, lost], [idle, idle, idle, ...Array.from({length: 5}, () => lost)]]) {
		t.not(newQueue().offer(requestOf('a'), {now: 0, pool: poolOf(0, {servers: known})}).type, 'rejected');
	}

	const heldByOthers = [{priority: 2, milliseconds: 1e5}];
	t.is(newQueue().offer(requestOf('a'), {now: 0, pool: poolOf(0, {servers: [idle, lost], heldByOthers})}).type, 'rejected');
});

test('a request is not rejected for work held elsewhere while the servers are idle, since that may be of another service', t => {
	const heldByOthers = [{priority: 2, milliseconds: 1e6}];
	t.is(newQueue().offer(requestOf('a'), {now: 0, pool: poolOf(0, {heldByOthers})}).type, 'held');
	t.is(newQueue().offer(requestOf('a'), {now: 0, pool: poolOf(1200, {heldByOthers})}).type, 'rejected');
});
