import {match} from 'ts-pattern';
import {type CompleteOrderCommand} from './command.js';
import {type EngineState, orderStatus} from './engine-state.js';
import {type OrderOutcome, type OrderRecord} from './order.js';

/** The timing of order delivery, in milliseconds. */
export type OrderDeliveryTiming = {
	/** The maximum time for which a previous leader's lease can remain valid after a new leader starts. */
	readonly previousLeaseMilliseconds: number;
	/** The maximum time from the lease check until the engine receives the order; sends are aborted after it. */
	readonly sendTimeoutMilliseconds: number;
	/** The delay before a failed step is retried, and between polls of an engine that is executing an order. */
	readonly retryDelayMilliseconds: number;
	/** How long an engine may work on an order that it accepted before the order is sent again. */
	readonly resendDelayMilliseconds: number;
	/** The time after issue at which an order that was not executed fails. */
	readonly orderTimeoutMilliseconds: number;
};

/** The default timing. */
export const defaultOrderDeliveryTiming: OrderDeliveryTiming = {
	previousLeaseMilliseconds: 2000, sendTimeoutMilliseconds: 2000, retryDelayMilliseconds: 500, resendDelayMilliseconds: 60_000, orderTimeoutMilliseconds: 600_000,
};

/** The inputs of a step besides the event. Times are monotonic milliseconds unless stated otherwise. */
export type OrderDeliveryContext = {
	readonly now: number;
	/** The current Unix time in milliseconds. */
	readonly wallClock: number;
	/** The leadership of this replica; undefined if it is not the leader. */
	readonly leadership: {readonly since: number; readonly leaseValidUntil: number} | undefined;
	/** The oldest open order of the engine. */
	readonly order: OrderRecord | undefined;
	/** The engine; undefined if it is not announced. */
	readonly engine: {readonly checksFencing: boolean} | undefined;
	readonly timing: OrderDeliveryTiming;
};

/** The state of a leader's delivery of the oldest open order to one engine. */
export type OrderDelivery = {
	/** The number of the step in progress. Events of earlier steps are ignored. */
	readonly step: number;
	readonly order: OrderRecord | undefined;
	/** The start of the leadership in which the delivery started. A new leadership restarts it. */
	readonly leaderSince: number;
	readonly phase: 'due' | 'reading' | 'sending' | 'completing';
	/** When the delivery continues. */
	readonly dueAt: number;
	/** When the engine accepted the order; undefined before. For a while after it the engine is only polled. */
	readonly takenAt: number | undefined;
};

/** The outcome of a send: the engine accepted the order, refused it for a stale fencing number, or the result is unknown. */
export type SendOutcome = {readonly type: 'taken'} | {readonly type: 'refused'; readonly detail: string} | {readonly type: 'failed'; readonly detail: string};

/** An event of a delivery. `step` is that of the action that led to it. */
export type OrderDeliveryEvent
	= | {readonly type: 'tick'}
		| {readonly type: 'state-read'; readonly step: number; readonly state: EngineState | undefined}
		| {readonly type: 'sent'; readonly step: number; readonly outcome: SendOutcome}
	/** The proposal of the command has ended, successfully or not. */
		| {readonly type: 'completed'; readonly step: number};

/** An action for the host, which must check the lease again immediately before `send`. */
export type OrderDeliveryAction
	= | {readonly type: 'read-state'; readonly step: number}
		| {readonly type: 'send'; readonly step: number; readonly order: OrderRecord}
		| {readonly type: 'complete'; readonly step: number; readonly command: CompleteOrderCommand};

/** A delivery after a step, and the action for the host. */
export type OrderDeliveryStep = {readonly delivery: OrderDelivery; readonly action?: OrderDeliveryAction};

/** A delivery that has not started. */
export const idleOrderDelivery: OrderDelivery = {
	step: 0, order: undefined, leaderSince: 0, phase: 'due', dueAt: 0, takenAt: undefined,
};

/**
Performs one step of the delivery of an engine's oldest open order: reads the engine's state, sends the order unless it was executed, reads the state again to verify it, and completes the order.

An engine that does not check fencing numbers gets no order before a previous leader's lease has expired and its last sends have timed out, and none for one send timeout after a send with an unknown outcome.

@param delivery The delivery.
@param event The event.
@param context The leadership, the order, the engine and the time.
@returns The delivery after the step, and the action.
@example
```ts
const {delivery, action} = stepOrderDelivery(idleOrderDelivery, {event: {type: 'tick'}, context});
```
*/
export function stepOrderDelivery(delivery: OrderDelivery, {event, context}: {readonly event: OrderDeliveryEvent; readonly context: OrderDeliveryContext}): OrderDeliveryStep {
	if (context.leadership === undefined || context.leadership.leaseValidUntil <= context.now || context.order === undefined) {
		return {delivery: {...idleOrderDelivery, step: delivery.step + 1}};
	}

	if (delivery.order?.orderId !== context.order.orderId || delivery.leaderSince !== context.leadership.since) {
		return startDelivery(delivery, {...context, order: context.order, since: context.leadership.since});
	}

	if (event.type !== 'tick' && event.step !== delivery.step) {
		return {delivery};
	}

	const input: StepInput = {delivery, context, order: delivery.order};
	return match(event)
		.with({type: 'tick'}, () => tick(input))
		.with({type: 'state-read'}, ({state}) => handleState(input, state))
		.with({type: 'sent'}, ({outcome}) => handleSendOutcome(input, outcome))
		.with({type: 'completed'}, (): OrderDeliveryStep => ({delivery: scheduleRetry(input, context.timing.retryDelayMilliseconds)}))
		.exhaustive();
}

type StepInput = {readonly delivery: OrderDelivery; readonly context: OrderDeliveryContext; readonly order: OrderRecord};

function startDelivery(delivery: OrderDelivery, {order, since, engine, now, timing}: OrderDeliveryContext & {readonly order: OrderRecord; readonly since: number}): OrderDeliveryStep {
	const earliestSendAt = engine?.checksFencing === true ? now : since + timing.previousLeaseMilliseconds + timing.sendTimeoutMilliseconds;
	return {
		delivery: {
			step: delivery.step + 1, order, leaderSince: since, phase: 'due', dueAt: Math.max(now, earliestSendAt), takenAt: undefined,
		},
	};
}

function tick(input: StepInput): OrderDeliveryStep {
	const {delivery, context: {now, wallClock, engine, timing}, order} = input;
	if (delivery.phase !== 'due' || now < delivery.dueAt) {
		return {delivery};
	}

	if (wallClock - order.issuedAt > timing.orderTimeoutMilliseconds) {
		return complete(input, {outcome: 'failed', detail: `Not obeyed in ${timing.orderTimeoutMilliseconds} ms`});
	}

	if (engine === undefined) {
		return {delivery: scheduleRetry(input, timing.retryDelayMilliseconds)};
	}

	const step = delivery.step + 1;
	return {delivery: {...delivery, step, phase: 'reading'}, action: {type: 'read-state', step}};
}

function handleState(input: StepInput, state: EngineState | undefined): OrderDeliveryStep {
	const {delivery, context: {now, timing}, order} = input;
	const status = state === undefined ? undefined : orderStatus(order, state);
	if (status === 'executed') {
		return complete(input, {outcome: 'done'});
	}

	if (status === 'superseded') {
		return complete(input, {outcome: 'refused', detail: 'The engine obeyed a newer order'});
	}

	const isInProgress = delivery.takenAt !== undefined && now - delivery.takenAt < timing.resendDelayMilliseconds;
	if (status === undefined || isInProgress) {
		return {delivery: scheduleRetry(input, timing.retryDelayMilliseconds)};
	}

	const step = delivery.step + 1;
	return {delivery: {...delivery, step, phase: 'sending'}, action: {type: 'send', step, order}};
}

function handleSendOutcome(input: StepInput, outcome: SendOutcome): OrderDeliveryStep {
	const {delivery, context: {now, engine, timing}} = input;
	return match(outcome)
		.with({type: 'taken'}, (): OrderDeliveryStep => ({delivery: {...scheduleRetry(input, 0), takenAt: now}}))
		.with({type: 'refused'}, ({detail}) => complete(input, {outcome: 'refused', detail}))
		.with({type: 'failed'}, (): OrderDeliveryStep => ({
			delivery: {...delivery, ...scheduleRetry(input, engine?.checksFencing === true ? timing.retryDelayMilliseconds : timing.sendTimeoutMilliseconds)},
		}))
		.exhaustive();
}

function scheduleRetry({delivery, context: {now}}: StepInput, milliseconds: number): OrderDelivery {
	return {
		...delivery, step: delivery.step + 1, phase: 'due', dueAt: now + milliseconds,
	};
}

function complete({delivery, context: {wallClock}, order: {orderId, fencing}}: StepInput, {outcome, detail}: {readonly outcome: OrderOutcome; readonly detail?: string}): OrderDeliveryStep {
	const step = delivery.step + 1;
	const command: CompleteOrderCommand = {
		type: 'complete-order', orderId, fencing, outcome, detail, at: wallClock,
	};
	return {delivery: {...delivery, step, phase: 'completing'}, action: {type: 'complete', step, command}};
}
