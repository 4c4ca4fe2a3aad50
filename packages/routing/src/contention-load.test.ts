import test, {type ExecutionContext} from 'ava';
import {
	type ContentionPlay, kinds, type Phase, type Played, playContention, type PlayResult,
} from './_test-contention.js';

const seed = 20_261_204;
/** Each burst begins when the queues of a calm pool have formed, and ends in a calm time. */
const calmStart: Phase = {load: 0.5, milliseconds: 3000};
const calmEnd: Phase = {load: 0.5, milliseconds: 8000};
const loads = {
	calm: [{load: 0.5, milliseconds: 10_000}],
	high: [{load: 0.95, milliseconds: 15_000}],
	long: [calmStart, {load: 1.3, milliseconds: 10_000}, calmEnd],
	steep: [calmStart, {load: 2, milliseconds: 5000}, calmEnd],
} as const satisfies Record<string, readonly Phase[]>;
const strategies = ['today', 'random', 'unheld', 'all-knowing', 'queue'] as const;
const longestHoldShare = 0.25;

type Changes = Partial<ContentionPlay>;

const results = new Map<string, PlayResult>();

/** Plays a load; the same play is not repeated. */
function play(load: keyof typeof loads, changes: Changes = {}): PlayResult {
	const options: ContentionPlay = {
		strategy: 'queue', phases: loads[load], seed, instances: 84, ...changes,
	};
	const key = JSON.stringify(options);
	const result = results.get(key) ?? playContention(options);
	results.set(key, result);
	return result;
}

function isInTime({firstEventAt, arrivedAt, targetLatency}: Played): boolean {
	return firstEventAt !== undefined && firstEventAt <= arrivedAt + targetLatency;
}

function isAnswered({firstEventAt}: Played): boolean {
	return Number.isFinite(firstEventAt);
}

function shareOf(requests: readonly Played[], isCounted: (request: Played) => boolean): number {
	return requests.filter(request => isCounted(request)).length / requests.length;
}

function ofKind({requests}: PlayResult, name: string): readonly Played[] {
	return requests.filter(({kind}) => kind.name === name);
}

function worthOf({requests}: PlayResult): number {
	let worth = 0;
	for (const request of requests) {
		const {kind} = request;
		worth += isInTime(request) ? kind.worth : (isAnswered(request) ? kind.lateWorth : 0);
	}

	return worth;
}

/** Returns how long a request was held since its caller came last. */
function heldTime({sentAt, arrivedAt, returnedAt = arrivedAt}: Played): number {
	return (sentAt ?? returnedAt) - returnedAt;
}

/** Describes what callers got. */
function describe(result: PlayResult, boundWorth: number): string {
	const {requests, idleShare, idleBesideHeldShare, workInVain} = result;
	const inTime = kinds.map(({name}) => `${name} ${shareOf(ofKind(result, name), isInTime).toFixed(3)}`).join(', ');
	const late = shareOf(requests, request => isAnswered(request) && !isInTime(request));
	const rejected = requests.filter(({wasRejected}) => wasRejected).length;
	const lastLate = Math.max(0, ...requests.filter(request => !isInTime(request)).map(({arrivedAt}) => arrivedAt));
	const held = shareOf(requests, request => heldTime(request) > 10);
	const longHeld = requests.filter(request => heldTime(request) > (longestHoldShare * request.targetLatency) + 5);
	return [
		`in time: ${inTime}; late ${late.toFixed(3)}, rejected ${rejected}`,
		`worth ${(worthOf(result) / boundWorth).toFixed(3)} of the bound`,
		`held ${held.toFixed(3)}, for longer than a quarter of the target ${longHeld.length}, of which late ${longHeld.filter(request => !isInTime(request)).length}`,
		`idle ${idleShare.toFixed(4)} (${idleBesideHeldShare.toFixed(4)} beside any held request); in vain ${Math.round(workInVain)} ms`,
		`last late arrival at ${Math.round(lastLate)} ms`,
	].join('; ');
}

function checkHolds(t: ExecutionContext, {requests}: PlayResult): void {
	for (const request of requests) {
		const wasHeld = heldTime(request) > 10;
		t.false(wasHeld && request.wasRejected === true);
		t.false(wasHeld && request.priority === 0);
		// The simulation decides in steps of 5 ms.
		const isLongHeld = heldTime(request) > (longestHoldShare * request.targetLatency) + 5;
		t.false(isLongHeld && heldTime(request) + Math.min(request.work, request.targetLatency) > request.targetLatency);
	}
}

for (const load of ['high', 'long', 'steep'] as const) {
	test(`what callers get under each rule: ${load}`, t => {
		for (const honoursUrgency of [true, false]) {
			const compared = strategies.map(strategy => [strategy, play(load, {strategy, honoursUrgency})] as const);
			const bound = worthOf(play(load, {strategy: 'all-knowing'}));
			for (const [strategy, result] of compared) {
				t.log(`servers ${honoursUrgency ? 'by urgency' : 'in order of arrival'}, ${strategy}: ${describe(result, bound)}`);
			}

			checkHolds(t, compared.at(-1)![1]);
		}
	});
}

/** All loads after each other. */
const allLoads: readonly Phase[] = [
	{load: 0.5, milliseconds: 3000},
	{load: 0.95, milliseconds: 5000},
	{load: 1.3, milliseconds: 10_000},
	{load: 2, milliseconds: 5000},
	{load: 0.5, milliseconds: 8000},
];

test('all loads after each other, a third of the pictures lost and none for 3 s in the steep burst', t => {
	const changes: Changes = {
		phases: allLoads, lostPictures: 1 / 3, darkness: [18_500, 21_500], returns: 3,
	};
	for (const honoursUrgency of [true, false]) {
		const order = honoursUrgency ? 'by urgency' : 'in order of arrival';
		const bound = worthOf(play('steep', {...changes, strategy: 'all-knowing'}));
		for (const strategy of ['unheld', 'queue', 'all-knowing'] as const) {
			const result = play('steep', {...changes, strategy, honoursUrgency});
			t.log(`servers ${order}, ${strategy}: ${describe(result, bound)}`);
			for (const [index, {load, milliseconds}] of allLoads.entries()) {
				const from = allLoads.slice(0, index).reduce((sum, phase) => sum + phase.milliseconds, 0);
				const requests = result.requests.filter(({arrivedAt}) => arrivedAt >= from && arrivedAt < from + milliseconds);
				t.log(`  load ${load}: ${kinds.map(({name}) => `${name} ${shareOf(ofKind({...result, requests}, name), isInTime).toFixed(3)}`).join(', ')}`);
			}

			if (strategy === 'queue') {
				checkHolds(t, result);
			}
		}
	}

	const result = play('steep', changes);
	t.true(shareOf(ofKind(result, 'query'), isInTime) >= 0.95);
	t.true(worthOf(result) >= 0.9 * worthOf(play('steep', {...changes, strategy: 'all-knowing'})));
	const returned = result.requests.filter(({returns = 0}) => returns > 0);
	t.log(`${returned.length} callers returned, ${returned.filter(request => isAnswered(request)).length} of them were answered`);
});

for (const instances of [1, 7, 84, 370]) {
	test(`${instances} instances in a steep burst serve urgent requests as in a calm time, and 0.9 of the worth of an all-knowing order`, t => {
		const calm = play('calm', {instances});
		const result = play('steep', {instances});
		const bound = worthOf(play('steep', {instances, strategy: 'all-knowing'}));
		t.log(describe(result, bound));
		checkHolds(t, result);
		t.true(shareOf(ofKind(result, 'query'), isInTime) >= 0.95 * shareOf(ofKind(calm, 'query'), isInTime));
		t.true(worthOf(result) >= 0.9 * bound);
	});

	test(`${instances} instances send the same requests to the same servers at the same times as without a queue at load 0.5`, t => {
		const decide = (strategy: 'unheld' | 'queue') => play('calm', {strategy, instances}).requests.map(({id, sentAt, server}) => ({id, sentAt, server}));
		t.deepEqual(decide('queue'), decide('unheld'));
	});

	test(`${instances} instances leave under 5 in 100 of the room idle while requests are held at load 0.95`, t => {
		const {idleShare, idleBesideHeldShare} = play('high', {instances});
		t.log(`${idleShare.toFixed(4)}; ${idleBesideHeldShare.toFixed(4)} beside any held request`);
		t.true(idleShare < 0.05);
	});
}

test('the rules hold when a third of the pictures is lost, and when none arrives for 3 s in the burst', t => {
	for (const changes of [{lostPictures: 1 / 3}, {darkness: [4000, 7000]}] satisfies Changes[]) {
		const result = play('steep', changes);
		const bound = worthOf(play('steep', {strategy: 'all-knowing'}));
		t.log(describe(result, bound));
		checkHolds(t, result);
		t.true(shareOf(ofKind(result, 'query'), isInTime) >= 0.95);
		t.true(worthOf(result) >= 0.9 * bound);
	}
});

test('in an overload of 30 s only the least urgent requests are rejected, and their callers return within a third of their time', t => {
	const phases = [calmStart, {load: 2.6, milliseconds: 30_000}, calmEnd];
	const result = play('steep', {phases});
	const unheld = play('steep', {phases, strategy: 'unheld'});
	t.log(`queue: ${describe(result, worthOf(unheld))}`);
	t.log(`unheld: ${describe(unheld, worthOf(unheld))}`);
	checkHolds(t, result);
	const rejected = result.requests.filter(({wasRejected}) => wasRejected);
	t.true(rejected.length > 0);
	for (const {kind, retryAfter, timeLeft} of rejected.map(request => ({...request, timeLeft: request.deadlineAt - request.arrivedAt}))) {
		t.is(kind.name, 'summary');
		t.true(retryAfter !== undefined && retryAfter <= timeLeft / 3);
	}
});

/** Returns the share of the requests of all workspaces but the first that are served in time. */
function othersInTime({requests}: PlayResult): number {
	return shareOf(requests.filter(({workspace}) => workspace !== '0'), isInTime);
}

test('a workspace at ten times its rate takes less than 0.03 of what the others get in time', t => {
	const phases = [calmStart, {load: 0.95, milliseconds: 10_000}, calmEnd];
	for (const strategy of ['today', 'queue'] as const) {
		for (const honoursUrgency of [true, false]) {
			const without = othersInTime(play('high', {phases, strategy, honoursUrgency}));
			const beside = othersInTime(play('high', {
				phases, strategy, honoursUrgency, hotFactor: 10,
			}));
			t.log(`servers ${honoursUrgency ? 'by urgency' : 'in order of arrival'}, ${strategy}: ${without.toFixed(3)} without, ${beside.toFixed(3)} beside it`);
		}
	}

	t.true(othersInTime(play('high', {phases, hotFactor: 10})) >= othersInTime(play('high', {phases})) - 0.03);
});

test('a workspace that states a hundredth or a hundred times its work does not harm the others', t => {
	const truthful = othersInTime(play('steep'));
	for (const statedFactor of [0.01, 100]) {
		const beside = othersInTime(play('steep', {statedFactor}));
		t.log(`${truthful.toFixed(3)} beside a truthful one, ${beside.toFixed(3)} beside one that states ${statedFactor} times its work`);
		t.true(beside >= truthful - 0.03);
	}
});

test('each way of sharing the room, and each bound on the wait, on the same arrivals', t => {
	const bound = worthOf(play('steep', {strategy: 'all-knowing'}));
	for (const honoursUrgency of [true, false]) {
		for (const boundShare of [0.1, 0.25, 0.5, 0.75]) {
			for (const isShared of [true, false]) {
				const result = play('steep', {boundShare, isShared, honoursUrgency});
				t.log(`servers ${honoursUrgency ? 'by urgency' : 'in order of arrival'}, bound ${boundShare}, ${isShared ? 'shares' : 'no shares'}: ${describe(result, bound)}`);
				checkHolds(t, result);
			}
		}
	}
});
