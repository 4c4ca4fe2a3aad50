import process from 'node:process';
import test from 'ava';
import {type ServerId, toId} from '@valehitch/core';
import fc from 'fast-check';
import {compareFencing, type EngineState} from './engine-state.js';
import {type OrderId} from './ids.js';
import {type OrderRecord} from './order.js';
import {
	defaultOrderTiming, idleOrderRun, type OrderAction, type OrderEvent, type OrderRun, stepOrder,
} from './order-run.js';

const seed = Number(process.env.VALEHITCH_FUZZ_SEED ?? 20_261_203);
const runs = Number(process.env.VALEHITCH_FUZZ_RUNS ?? 2000);
const timing = {...defaultOrderTiming, resendMilliseconds: 10_000, giveUpMilliseconds: Number.MAX_SAFE_INTEGER};
const tickMilliseconds = 100;
const leaseMilliseconds = 1000;
/** Each delay that this divides goes with a connection that breaks behind the call. */
const brokenConnection = 3;

type Leader = {
	run: OrderRun;
	/** What it has applied: an old leader's view stays as it was. */
	open: readonly OrderRecord[];
	since: number;
	leaseValidUntil: number;
	frozenUntil: number;
};
type Obeyed = {readonly sequence: number; readonly flight: number};

/** Two control replicas that take turns, one engine, and a network, in virtual time. */
class World {
	now = 0;
	readonly obeyed: Obeyed[] = [];
	#engine: EngineState = {models: []};
	#open: readonly OrderRecord[] = [];
	#index = 0;
	#leading = 0;
	#pending: Array<{readonly at: number; readonly act: () => void}> = [];
	readonly #leaders: readonly Leader[] = [0, 1].map(() => ({
		run: idleOrderRun, open: [], since: 0, leaseValidUntil: 0, frozenUntil: 0,
	}));

	readonly #checksFencing: boolean;
	#delays: readonly number[];
	#messages = 0;

	constructor(checksFencing: boolean, delays: readonly number[]) {
		this.#checksFencing = checksFencing;
		this.#delays = delays;
	}

	get open(): readonly OrderRecord[] {
		return this.#open;
	}

	issue(): void {
		const sequence = ++this.#index;
		this.#open = [...this.#open, {
			orderId: toId<OrderId>(`o${sequence}`), server: toId<ServerId>('s'), order: {type: 'set-role', role: `role-${sequence}`}, fencing: {term: 1, sequence}, issuedAt: 0, outcome: 'open',
		}];
	}

	/** Elects a replica, even while the other one's lease is still valid. */
	elect(index: number): void {
		this.#leading = index;
		Object.assign(this.#leaders[index] ?? {}, {since: this.now, frozenUntil: 0});
	}

	/** Elects the first replica; from now on messages are quick and nothing fails. */
	calm(): void {
		this.elect(0);
		this.#delays = [tickMilliseconds];
	}

	freeze(milliseconds: number): void {
		Object.assign(this.#leaders[this.#leading] ?? {}, {frozenUntil: this.now + milliseconds});
	}

	pass(milliseconds: number): void {
		const until = this.now + milliseconds;
		while (this.now < until) {
			this.now += tickMilliseconds;
			const due = this.#pending.filter(({at}) => at <= this.now);
			this.#pending = this.#pending.filter(({at}) => at > this.now);
			for (const {act} of due) {
				act();
			}

			for (const [index, leader] of this.#leaders.entries()) {
				if (index === this.#leading && leader.frozenUntil <= this.now) {
					leader.leaseValidUntil = this.now + leaseMilliseconds;
					leader.open = this.#open;
				}

				this.#step(index, {type: 'tick'});
			}
		}
	}

	#step(index: number, event: OrderEvent): void {
		const leader = this.#leaders[index];
		if (leader === undefined) {
			return;
		}

		if (leader.frozenUntil > this.now) {
			if (event.type !== 'tick') {
				this.#later(leader.frozenUntil - this.now, () => {
					this.#step(index, event);
				});
			}

			return;
		}

		const {run, action} = stepOrder(leader.run, {
			event,
			context: {
				now: this.now, wallClock: 0, leadership: {since: leader.since, leaseValidUntil: leader.leaseValidUntil}, order: leader.open[0], engine: {checksFencing: this.#checksFencing}, timing,
			},
		});
		leader.run = run;
		if (action !== undefined) {
			this.#carryOut(index, action);
		}
	}

	#carryOut(index: number, action: OrderAction): void {
		const {step} = action;
		if (action.type === 'read-state') {
			this.#call(() => ({type: 'state-read', step, state: this.#engine}), {index, lost: {type: 'state-read', step, state: undefined}});
		} else if (action.type === 'send') {
			const sentAt = this.now;
			this.#call(() => ({type: 'sent', step, outcome: this.#receive(action.order, sentAt)}), {index, lost: {type: 'sent', step, outcome: {type: 'failed', detail: 'lost'}}});
		} else if (index === this.#leading) {
			this.#open = this.#open.filter(({orderId}) => orderId !== action.command.orderId);
		}
	}

	/** A call that arrives after one delay and is answered after another; given up after one flight, or at once where the connection breaks behind it. */
	#call(answer: () => OrderEvent, {index, lost}: {readonly index: number; readonly lost: OrderEvent}): void {
		const delay = this.#delay();
		if (delay % brokenConnection === 0) {
			this.#later(tickMilliseconds, () => {
				this.#step(index, lost);
			});
		}

		this.#later(delay, () => {
			const event = answer();
			this.#later(this.#delay(), () => {
				this.#step(index, event);
			});
		});
		this.#later(timing.flightMilliseconds, () => {
			this.#step(index, lost);
		});
	}

	#receive({fencing, orderId, order}: OrderRecord, sentAt: number): (OrderEvent & {type: 'sent'})['outcome'] {
		const {lastOrder} = this.#engine;
		const comparison = lastOrder === undefined ? 1 : compareFencing(fencing, lastOrder);
		if (this.#checksFencing && comparison <= 0) {
			return comparison === 0 ? {type: 'taken'} : {type: 'refused', detail: 'old'};
		}

		this.obeyed.push({sequence: fencing.sequence, flight: this.now - sentAt});
		this.#engine = {models: [], role: order.type === 'set-role' ? order.role : '', ...(this.#checksFencing && {lastOrder: {...fencing, orderId}})};
		return {type: 'taken'};
	}

	#later(milliseconds: number, act: () => void): void {
		this.#pending.push({at: this.now + milliseconds, act});
	}

	#delay(): number {
		return this.#delays[this.#messages++ % this.#delays.length] ?? 0;
	}
}

const disturbance = fc.oneof(
	fc.record({type: fc.constant('issue' as const)}),
	fc.record({type: fc.constant('pass' as const), milliseconds: fc.integer({min: 100, max: 3000})}),
	fc.record({type: fc.constant('elect' as const), index: fc.integer({min: 0, max: 1})}),
	fc.record({type: fc.constant('freeze' as const), milliseconds: fc.integer({min: 100, max: 8000})}),
);
// Most messages take less than a flight; a few are held for far longer, as by a frozen process between check and send.
const delay = fc.oneof(
	{weight: 6, arbitrary: fc.integer({min: 0, max: 100})},
	{weight: 4, arbitrary: fc.integer({min: 0, max: 1900})},
	{weight: 1, arbitrary: fc.integer({min: 3000, max: 12_000})},
);
const delays = fc.array(delay, {minLength: 7, maxLength: 31});
const schedule = fc.record({delays, disturbances: fc.array(disturbance, {minLength: 10, maxLength: 60})});
const calmMilliseconds = 20_000;

type Schedule = typeof schedule extends fc.Arbitrary<infer Value> ? Value : never;

function runSchedule({delays: given, disturbances}: Schedule, checksFencing: boolean): World {
	const world = new World(checksFencing, given);
	for (const found of disturbances) {
		if (found.type === 'issue') {
			world.issue();
		} else if (found.type === 'elect') {
			world.elect(found.index);
		} else {
			world[found.type](found.milliseconds);
		}
	}

	world.calm();
	while (world.open.length > 0 && world.now < calmMilliseconds * 1000) {
		world.pass(calmMilliseconds);
	}

	return world;
}

test(`an engine that checks never obeys an older order after a newer one, nor one twice, and each is carried out (seed ${seed}, ${runs} cases)`, t => {
	const property = fc.property(schedule, found => {
		const {obeyed, open} = runSchedule(found, true);
		const sequences = obeyed.map(({sequence}) => sequence);
		const issued = found.disturbances.filter(({type}) => type === 'issue').length;
		return open.length === 0 && sequences.length === issued && sequences.every((sequence, index) => sequence === index + 1);
	});
	t.notThrows(() => {
		fc.assert(property, {seed, numRuns: runs});
	});
});

test(`an engine that ignores fencing obeys an older order after a newer one only when it was on its way for longer than a flight (seed ${seed}, ${runs} cases)`, t => {
	let reversals = 0;
	const property = fc.property(schedule, found => {
		const {obeyed, open} = runSchedule(found, false);
		let newest = 0;
		for (const {sequence, flight} of obeyed) {
			if (sequence < newest && flight <= timing.flightMilliseconds) {
				return false;
			}

			reversals += sequence < newest ? 1 : 0;
			newest = Math.max(newest, sequence);
		}

		return open.length === 0;
	});
	t.notThrows(() => {
		fc.assert(property, {seed, numRuns: runs});
	});
	t.log(`${reversals} orders outside the window`);
});

test('a taken order is read back before it is completed, and a lost send holds an engine that ignores fencing for one flight', t => {
	const order: OrderRecord = {
		orderId: toId<OrderId>('o1'), server: toId<ServerId>('s'), order: {type: 'set-role', role: 'decode'}, fencing: {term: 1, sequence: 1}, issuedAt: 0, outcome: 'open',
	};
	const step = (run: OrderRun, event: OrderEvent, now: number) => stepOrder(run, {
		event,
		context: {
			now, wallClock: 0, leadership: {since: 0, leaseValidUntil: 1_000_000}, order, engine: {checksFencing: false}, timing,
		},
	});
	const sending: OrderRun = {
		step: 5, order, leadingSince: 0, phase: 'sending', dueAt: 0, takenAt: undefined,
	};
	const taken = step(sending, {type: 'sent', step: 5, outcome: {type: 'taken'}}, 10_000);
	t.is(taken.action, undefined);
	t.is(step(taken.run, {type: 'tick'}, 10_000).action?.type, 'read-state');

	const lost = step(sending, {type: 'sent', step: 5, outcome: {type: 'failed', detail: 'reset'}}, 10_000);
	t.is(step(lost.run, {type: 'tick'}, 10_000 + timing.flightMilliseconds - 1).action, undefined);
	t.is(step(lost.run, {type: 'tick'}, 10_000 + timing.flightMilliseconds).action?.type, 'read-state');
});
