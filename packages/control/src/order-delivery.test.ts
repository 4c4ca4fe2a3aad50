import process from 'node:process';
import test from 'ava';
import {type ServerId, toId} from '@valehitch/core';
import fc from 'fast-check';
import {compareFencing, type EngineState} from './engine-state.js';
import {type OrderId} from './ids.js';
import {type OrderRecord} from './order.js';
import {
	defaultOrderDeliveryTiming, idleOrderDelivery, type OrderDeliveryAction, type OrderDeliveryEvent, type OrderDelivery, stepOrderDelivery,
} from './order-delivery.js';

const seed = Number(process.env.VALEHITCH_FUZZ_SEED ?? 20_261_203);
const runs = Number(process.env.VALEHITCH_FUZZ_RUNS ?? 2000);
const timing = {...defaultOrderDeliveryTiming, resendDelayMilliseconds: 10_000, orderTimeoutMilliseconds: Number.MAX_SAFE_INTEGER};
const tickMilliseconds = 100;
const leaseMilliseconds = 1000;
/** The connection of a call breaks after the request was sent if the delay is a multiple of this number. */
const brokenConnectionDivisor = 3;

type Leader = {
	delivery: OrderDelivery;
	/** The open orders by the log that this replica has applied. Those of a previous leader are not updated. */
	open: readonly OrderRecord[];
	since: number;
	leaseValidUntil: number;
	frozenUntil: number;
};
type ExecutedOrder = {readonly sequence: number; readonly transitMilliseconds: number};

/** Simulates two control replicas that alternate as the leader, one engine and a network in virtual time. */
class Simulation {
	now = 0;
	readonly executed: ExecutedOrder[] = [];
	#engine: EngineState = {models: []};
	#open: readonly OrderRecord[] = [];
	#index = 0;
	#leading = 0;
	#pending: Array<{readonly at: number; readonly act: () => void}> = [];
	readonly #leaders: readonly Leader[] = [0, 1].map(() => ({
		delivery: idleOrderDelivery, open: [], since: 0, leaseValidUntil: 0, frozenUntil: 0,
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

	/** Elects the first replica, and sets all message delays to one tick. */
	endFaults(): void {
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

	#step(index: number, event: OrderDeliveryEvent): void {
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

		const {delivery, action} = stepOrderDelivery(leader.delivery, {
			event,
			context: {
				now: this.now, wallClock: 0, leadership: {since: leader.since, leaseValidUntil: leader.leaseValidUntil}, order: leader.open[0], engine: {checksFencing: this.#checksFencing}, timing,
			},
		});
		leader.delivery = delivery;
		if (action !== undefined) {
			this.#carryOut(index, action);
		}
	}

	#carryOut(index: number, action: OrderDeliveryAction): void {
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

	/** Makes a call that arrives after one delay and returns after another. It fails after the send timeout, or after one tick if the connection breaks. */
	#call(answer: () => OrderDeliveryEvent, {index, lost}: {readonly index: number; readonly lost: OrderDeliveryEvent}): void {
		const delay = this.#delay();
		if (delay % brokenConnectionDivisor === 0) {
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
		this.#later(timing.sendTimeoutMilliseconds, () => {
			this.#step(index, lost);
		});
	}

	#receive({fencing, orderId, order}: OrderRecord, sentAt: number): (OrderDeliveryEvent & {type: 'sent'})['outcome'] {
		const {lastOrder} = this.#engine;
		const comparison = lastOrder === undefined ? 1 : compareFencing(fencing, lastOrder);
		if (this.#checksFencing && comparison <= 0) {
			return comparison === 0 ? {type: 'taken'} : {type: 'refused', detail: 'old'};
		}

		this.executed.push({sequence: fencing.sequence, transitMilliseconds: this.now - sentAt});
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

const operation = fc.oneof(
	fc.record({type: fc.constant('issue' as const)}),
	fc.record({type: fc.constant('pass' as const), milliseconds: fc.integer({min: 100, max: 3000})}),
	fc.record({type: fc.constant('elect' as const), index: fc.integer({min: 0, max: 1})}),
	fc.record({type: fc.constant('freeze' as const), milliseconds: fc.integer({min: 100, max: 8000})}),
);
// Most messages arrive within the send timeout. A few take much longer, like those of a process that is suspended between lease check and send.
const delay = fc.oneof(
	{weight: 6, arbitrary: fc.integer({min: 0, max: 100})},
	{weight: 4, arbitrary: fc.integer({min: 0, max: 1900})},
	{weight: 1, arbitrary: fc.integer({min: 3000, max: 12_000})},
);
const delays = fc.array(delay, {minLength: 7, maxLength: 31});
const schedule = fc.record({delays, operations: fc.array(operation, {minLength: 10, maxLength: 60})});
const settleMilliseconds = 20_000;

type Schedule = typeof schedule extends fc.Arbitrary<infer Value> ? Value : never;

function runSchedule({delays: messageDelays, operations}: Schedule, checksFencing: boolean): Simulation {
	const simulation = new Simulation(checksFencing, messageDelays);
	for (const step of operations) {
		if (step.type === 'issue') {
			simulation.issue();
		} else if (step.type === 'elect') {
			simulation.elect(step.index);
		} else {
			simulation[step.type](step.milliseconds);
		}
	}

	simulation.endFaults();
	while (simulation.open.length > 0 && simulation.now < settleMilliseconds * 1000) {
		simulation.pass(settleMilliseconds);
	}

	return simulation;
}

test(`an engine that checks fencing numbers executes all orders once and in order (seed ${seed}, ${runs} cases)`, t => {
	const property = fc.property(schedule, generated => {
		const {executed, open} = runSchedule(generated, true);
		const sequences = executed.map(({sequence}) => sequence);
		const issued = generated.operations.filter(({type}) => type === 'issue').length;
		return open.length === 0 && sequences.length === issued && sequences.every((sequence, index) => sequence === index + 1);
	});
	t.notThrows(() => {
		fc.assert(property, {seed, numRuns: runs});
	});
});

test(`an engine that does not check fencing numbers executes an older order after a newer one only if its transit exceeded the send timeout (seed ${seed}, ${runs} cases)`, t => {
	let reversals = 0;
	const property = fc.property(schedule, generated => {
		const {executed, open} = runSchedule(generated, false);
		let newest = 0;
		for (const {sequence, transitMilliseconds} of executed) {
			if (sequence < newest && transitMilliseconds <= timing.sendTimeoutMilliseconds) {
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
	t.log(`${reversals} orders executed out of order after a transit longer than the send timeout`);
});

test('the engine state is read again before an accepted order is completed, and a failed send to an engine without fencing delays the next step by one send timeout', t => {
	const order: OrderRecord = {
		orderId: toId<OrderId>('o1'), server: toId<ServerId>('s'), order: {type: 'set-role', role: 'decode'}, fencing: {term: 1, sequence: 1}, issuedAt: 0, outcome: 'open',
	};
	const step = (delivery: OrderDelivery, event: OrderDeliveryEvent, now: number) => stepOrderDelivery(delivery, {
		event,
		context: {
			now, wallClock: 0, leadership: {since: 0, leaseValidUntil: 1_000_000}, order, engine: {checksFencing: false}, timing,
		},
	});
	const sending: OrderDelivery = {
		step: 5, order, leaderSince: 0, phase: 'sending', dueAt: 0, takenAt: undefined,
	};
	const taken = step(sending, {type: 'sent', step: 5, outcome: {type: 'taken'}}, 10_000);
	t.is(taken.action, undefined);
	t.is(step(taken.delivery, {type: 'tick'}, 10_000).action?.type, 'read-state');

	const lost = step(sending, {type: 'sent', step: 5, outcome: {type: 'failed', detail: 'reset'}}, 10_000);
	t.is(step(lost.delivery, {type: 'tick'}, 10_000 + timing.sendTimeoutMilliseconds - 1).action, undefined);
	t.is(step(lost.delivery, {type: 'tick'}, 10_000 + timing.sendTimeoutMilliseconds).action?.type, 'read-state');
});
