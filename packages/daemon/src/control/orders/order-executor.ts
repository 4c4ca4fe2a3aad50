import {
	type ControlState, defaultOrderDeliveryTiming, idleOrderDelivery, type OrderDelivery, type OrderDeliveryAction, type OrderDeliveryContext,
	type OrderDeliveryEvent, type OrderDeliveryTiming, type OrderRecord, stepOrderDelivery,
} from '@valehitch/control';
import {type Clock, type ServerId} from '@valehitch/core';
import {type Timeline} from '../../timeline.js';
import {type ControlPart} from '../start-control.js';
import {type EngineClient} from './engine-client.js';

/** The properties of an engine that the executor uses. */
export type OrderTarget = {
	/** The base address. */
	readonly address: string;
	/** Whether it rejects an order with an outdated fencing number. */
	readonly checksFencing: boolean;
};

/** The dependencies of an `OrderExecutor`. */
export type OrderExecutorOptions = {
	readonly clock: Clock;
	readonly timeline: Pick<Timeline, 'record'>;
	readonly control: Pick<ControlPart, 'isLeader' | 'leaseValidUntil' | 'propose'> & {readonly state: () => Pick<ControlState, 'openOrders'> | undefined};
	/** Returns an engine that has announced itself, or undefined. */
	readonly findEngine: (server: ServerId) => OrderTarget | undefined;
	readonly engineClient: EngineClient;
	/** The timing of the deliveries; `defaultOrderDeliveryTiming` by default. */
	readonly timing?: OrderDeliveryTiming;
};

/**
Executes the open orders while this instance is the leader, one at a time per engine.

@example
```ts
const executor = new OrderExecutor(options);
setInterval(() => executor.tick(), 100);
```
*/
export class OrderExecutor {
	readonly #options: OrderExecutorOptions;
	readonly #timing: OrderDeliveryTiming;
	readonly #deliveries = new Map<ServerId, OrderDelivery>();
	/** Step numbers are unique over all deliveries, so that a late reply to a step of an earlier delivery never matches a step of a later one. */
	#lastStep = 0;
	#leadingSince = 0;
	#lastLeaseEnd = 0;

	constructor(options: OrderExecutorOptions) {
		this.#options = options;
		this.#timing = options.timing ?? defaultOrderDeliveryTiming;
	}

	/** Executes the steps that are due. Call this several times a second. */
	tick(): void {
		const leadership = this.#leadership();
		if (leadership === undefined) {
			this.#deliveries.clear();
			return;
		}

		const oldest = this.#oldestOrders();
		for (const server of new Set([...oldest.keys(), ...this.#deliveries.keys()])) {
			this.#step(server, {event: {type: 'tick'}, order: oldest.get(server)});
		}
	}

	#step(server: ServerId, {event, order}: {readonly event: OrderDeliveryEvent; readonly order: OrderRecord | undefined}): void {
		const current = this.#deliveries.get(server);
		if (current === undefined && event.type !== 'tick') {
			return;
		}

		const previous = current ?? {...idleOrderDelivery, step: this.#lastStep};
		const {delivery, action} = stepOrderDelivery(previous, {event, context: this.#context(server, order)});
		this.#lastStep = Math.max(this.#lastStep, delivery.step);
		if (order === undefined) {
			this.#deliveries.delete(server);
		} else {
			this.#deliveries.set(server, delivery);
		}

		if (action !== undefined) {
			void this.#perform(server, action);
		}
	}

	async #perform(server: ServerId, action: OrderDeliveryAction): Promise<void> {
		const event = await this.#performAction(server, action);
		this.#step(server, {event, order: this.#oldestOrders().get(server)});
	}

	async #performAction(server: ServerId, action: OrderDeliveryAction): Promise<OrderDeliveryEvent> {
		const {engineClient, control, findEngine} = this.#options;
		const {step} = action;
		if (action.type === 'complete') {
			const {orderId, outcome, detail} = action.command;
			this.#options.timeline.record('order-answered', {server, details: {orderId, outcome, detail}});
			await control.propose(action.command);
			return {type: 'completed', step};
		}

		const address = findEngine(server)?.address;
		const {clock} = this.#options;
		const sendUntil = clock.monotonic() + this.#timing.sendTimeoutMilliseconds;
		const signal = AbortSignal.timeout(this.#timing.sendTimeoutMilliseconds);
		if (action.type === 'read-state') {
			return {type: 'state-read', step, state: address === undefined ? undefined : await engineClient.readState(address, signal)};
		}

		if (address === undefined || this.#leadership() === undefined) {
			return {type: 'sent', step, outcome: {type: 'failed', detail: 'The engine or the lease is gone'}};
		}

		// While the connection opens, the lease may end, and a process that is held up does not notice the timeout.
		const mayStillSend = (): boolean => clock.monotonic() < sendUntil && this.#leadership() !== undefined;
		const reply = engineClient.send(address, action.order, {signal, mayStillSend});
		const {orderId, fencing: {term, sequence}, order: {type}} = action.order;
		this.#options.timeline.record('order-sent', {server, term, details: {orderId, sequence, type}});
		return {type: 'sent', step, outcome: await reply};
	}

	#context(server: ServerId, order: OrderRecord | undefined): OrderDeliveryContext {
		const {clock, findEngine} = this.#options;
		return {
			now: clock.monotonic(),
			wallClock: clock.now().getTime(),
			leadership: this.#leadership(),
			order,
			engine: findEngine(server),
			timing: this.#timing,
		};
	}

	/** Returns the current leadership. If the lease expired before its renewal was observed, a new leadership starts, since another leader may have acted in between. */
	#leadership(): {readonly since: number; readonly leaseValidUntil: number} | undefined {
		const {clock, control} = this.#options;
		const now = clock.monotonic();
		const until = control.leaseValidUntil();
		if (until === undefined || until <= now || !control.isLeader()) {
			return undefined;
		}

		if (this.#lastLeaseEnd <= now) {
			this.#leadingSince = now;
		}

		this.#lastLeaseEnd = until;
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
