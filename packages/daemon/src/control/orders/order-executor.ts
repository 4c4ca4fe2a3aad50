import {
	type ControlState, defaultOrderTiming, idleOrderRun, type OrderAction, type OrderContext, type OrderEvent, type OrderRecord, type OrderRun, type OrderTiming, stepOrder,
} from '@valehitch/control';
import {type Clock, type ServerId} from '@valehitch/core';
import {type Timeline} from '../../timeline.js';
import {type ControlPart} from '../start-control.js';
import {type EngineCalls} from './engine-calls.js';

/** An engine as the executor needs it. */
export type OrderTarget = {
	/** The base address. */
	readonly address: string;
	/** Whether it refuses an order with an old fencing number. */
	readonly checksFencing: boolean;
};

/** What the executor needs. */
export type OrderExecutorOptions = {
	readonly clock: Clock;
	readonly timeline: Pick<Timeline, 'record'>;
	readonly control: Pick<ControlPart, 'isLeader' | 'leaseValidUntil' | 'propose'> & {readonly state: () => Pick<ControlState, 'openOrders'> | undefined};
	/** Finds an announced engine. */
	readonly engineOf: (server: ServerId) => OrderTarget | undefined;
	readonly calls: EngineCalls;
	/** `defaultOrderTiming` unless given. */
	readonly timing?: OrderTiming;
};

/**
Carries out the open orders while this instance leads: one at a time for each engine.

@example
```ts
const executor = new OrderExecutor(options);
setInterval(() => executor.tick(), 100);
```
*/
export class OrderExecutor {
	readonly #options: OrderExecutorOptions;
	readonly #timing: OrderTiming;
	readonly #runs = new Map<ServerId, OrderRun>();
	/** Steps are numbered over all runs, so that the answer to a step of a run that ended fits no later one. */
	#lastStep = 0;
	#leadingSince = 0;
	#leaseSeen = 0;

	constructor(options: OrderExecutorOptions) {
		this.#options = options;
		this.#timing = options.timing ?? defaultOrderTiming;
	}

	/** Takes the steps that are due; called several times a second. */
	tick(): void {
		const leadership = this.#leadership();
		if (leadership === undefined) {
			this.#runs.clear();
			return;
		}

		const oldest = this.#oldestOrders();
		for (const server of new Set([...oldest.keys(), ...this.#runs.keys()])) {
			this.#step(server, {event: {type: 'tick'}, order: oldest.get(server)});
		}
	}

	#step(server: ServerId, {event, order}: {readonly event: OrderEvent; readonly order: OrderRecord | undefined}): void {
		const known = this.#runs.get(server);
		if (known === undefined && event.type !== 'tick') {
			return;
		}

		const {run, action} = stepOrder({...known ?? idleOrderRun, ...(known === undefined && {step: this.#lastStep})}, {event, context: this.#context(server, order)});
		this.#lastStep = Math.max(this.#lastStep, run.step);
		if (order === undefined) {
			this.#runs.delete(server);
		} else {
			this.#runs.set(server, run);
		}

		if (action !== undefined) {
			void this.#carryOut(server, action);
		}
	}

	async #carryOut(server: ServerId, action: OrderAction): Promise<void> {
		const event = await this.#resultOf(server, action);
		this.#step(server, {event, order: this.#oldestOrders().get(server)});
	}

	async #resultOf(server: ServerId, action: OrderAction): Promise<OrderEvent> {
		const {calls, control, engineOf} = this.#options;
		const {step} = action;
		if (action.type === 'complete') {
			const {orderId, outcome, detail} = action.command;
			this.#options.timeline.record('order-answered', {server, details: {orderId, outcome, detail}});
			await control.propose(action.command);
			return {type: 'completed', step};
		}

		const address = engineOf(server)?.address;
		const signal = AbortSignal.timeout(this.#timing.flightMilliseconds);
		if (action.type === 'read-state') {
			return {type: 'state-read', step, state: address === undefined ? undefined : await calls.readState(address, signal)};
		}

		// The lease is looked at once more with nothing between the look and the send.
		if (address === undefined || this.#leadership() === undefined) {
			return {type: 'sent', step, outcome: {type: 'failed', detail: 'The engine or the lease is gone'}};
		}

		const sending = calls.send(address, action.order, signal);
		const {orderId, fencing: {term, sequence}, order: {type}} = action.order;
		this.#options.timeline.record('order-sent', {server, term, details: {orderId, sequence, type}});
		return {type: 'sent', step, outcome: await sending};
	}

	#context(server: ServerId, order: OrderRecord | undefined): OrderContext {
		const {clock, engineOf} = this.#options;
		return {
			now: clock.monotonic(),
			wallClock: clock.now().getTime(),
			leadership: this.#leadership(),
			order,
			engine: engineOf(server),
			timing: this.#timing,
		};
	}

	/** A lease that had run out before it was seen renewed counts as a new leadership: another leader may have been in between. */
	#leadership(): {readonly since: number; readonly leaseValidUntil: number} | undefined {
		const {clock, control} = this.#options;
		const now = clock.monotonic();
		const until = control.leaseValidUntil();
		if (until === undefined || until <= now || !control.isLeader()) {
			return undefined;
		}

		if (this.#leaseSeen <= now) {
			this.#leadingSince = now;
		}

		this.#leaseSeen = until;
		return {since: this.#leadingSince, leaseValidUntil: until};
	}

	#oldestOrders(): Map<ServerId, OrderRecord> {
		const oldest = new Map<ServerId, OrderRecord>();
		for (const order of this.#options.control.state()?.openOrders() ?? []) {
			if (!oldest.has(order.server)) {
				oldest.set(order.server, order);
			}
		}

		return oldest;
	}
}
