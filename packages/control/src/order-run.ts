import {match} from 'ts-pattern';
import {type CompleteOrderCommand} from './command.js';
import {type EngineState, orderStanding} from './engine-state.js';
import {type OrderOutcome, type OrderRecord} from './order.js';

/** The times by which orders are sent, in milliseconds. */
export type OrderTiming = {
	/** How long a former leader's lease can outlast the start of a new one. */
	readonly leaseMilliseconds: number;
	/** How long an order can be on its way, from the check of the lease until the engine has it; sends are given up then. */
	readonly flightMilliseconds: number;
	/** The pause before a failed step is tried again, and between two looks at an engine at work. */
	readonly retryMilliseconds: number;
	/** How long an engine that took an order may work on it before the same order is sent again. */
	readonly resendMilliseconds: number;
	/** How long an order is tried before it is given up. */
	readonly giveUpMilliseconds: number;
};

/** The times unless the host says otherwise. */
export const defaultOrderTiming: OrderTiming = {
	leaseMilliseconds: 2000, flightMilliseconds: 2000, retryMilliseconds: 500, resendMilliseconds: 60_000, giveUpMilliseconds: 600_000,
};

/** What a run is stepped with; times are monotonic milliseconds. */
export type OrderContext = {
	readonly now: number;
	/** The same moment in milliseconds since 1970. */
	readonly wallClock: number;
	/** This replica's leadership; undefined while it does not lead. */
	readonly leadership: {readonly since: number; readonly leaseValidUntil: number} | undefined;
	/** The oldest open order of the engine. */
	readonly order: OrderRecord | undefined;
	/** The engine; undefined while it is not announced. */
	readonly engine: {readonly checksFencing: boolean} | undefined;
	readonly timing: OrderTiming;
};

/** How far one leader is with one engine's oldest open order. */
export type OrderRun = {
	/** Numbers the steps in progress; an answer to an earlier one is passed over. */
	readonly step: number;
	readonly order: OrderRecord | undefined;
	/** The start of the leadership under which it began; another leadership begins anew. */
	readonly leadingSince: number;
	readonly phase: 'due' | 'reading' | 'sending' | 'completing';
	/** When the run goes on. */
	readonly dueAt: number;
	/** When the engine took the order, so that it is only watched for a while; undefined before. */
	readonly takenAt: number | undefined;
};

/** What an engine answered to an order: it took it, it refused an old number, or nobody knows. */
export type SendOutcome = {readonly type: 'taken'} | {readonly type: 'refused'; readonly detail: string} | {readonly type: 'failed'; readonly detail: string};

/** What can happen to a run; `step` repeats that of the action. */
export type OrderEvent
	= | {readonly type: 'tick'}
		| {readonly type: 'state-read'; readonly step: number; readonly state: EngineState | undefined}
		| {readonly type: 'sent'; readonly step: number; readonly outcome: SendOutcome}
	/** The command was answered by the replicated log, or not. */
		| {readonly type: 'completed'; readonly step: number};

/** What the host must do; it checks the lease again right before `send`. */
export type OrderAction
	= | {readonly type: 'read-state'; readonly step: number}
		| {readonly type: 'send'; readonly step: number; readonly order: OrderRecord}
		| {readonly type: 'complete'; readonly step: number; readonly command: CompleteOrderCommand};

/** A run after a step, and what the host must do. */
export type OrderStep = {readonly run: OrderRun; readonly action?: OrderAction};

/** A run that has not begun. */
export const idleOrderRun: OrderRun = {
	step: 0, order: undefined, leadingSince: 0, phase: 'due', dueAt: 0, takenAt: undefined,
};

/**
Takes one step with an engine's oldest open order: reads the engine's state, sends the order unless it was obeyed, reads back, and completes it.

An engine that ignores fencing numbers gets nothing until a former leader's lease and anything it sent under it must be over, and nothing for one flight after a send whose outcome is not known.

@param run The run.
@param event What happened.
@param context The leadership, the order, the engine and the time.
@returns The run and the action.
@example
```ts
const {run, action} = stepOrder(idleOrderRun, {event: {type: 'tick'}, context});
```
*/
export function stepOrder(run: OrderRun, {event, context}: {readonly event: OrderEvent; readonly context: OrderContext}): OrderStep {
	if (context.leadership === undefined || context.leadership.leaseValidUntil <= context.now || context.order === undefined) {
		return {run: {...idleOrderRun, step: run.step + 1}};
	}

	if (run.order?.orderId !== context.order.orderId || run.leadingSince !== context.leadership.since) {
		return begin(run, {...context, order: context.order, since: context.leadership.since});
	}

	if (event.type !== 'tick' && event.step !== run.step) {
		return {run};
	}

	const stepped: Stepped = {run, context, order: run.order};
	return match(event)
		.with({type: 'tick'}, () => tick(stepped))
		.with({type: 'state-read'}, ({state}) => onState(stepped, state))
		.with({type: 'sent'}, ({outcome}) => onSent(stepped, outcome))
		.with({type: 'completed'}, () => ({run: pause(stepped, context.timing.retryMilliseconds)}))
		.exhaustive();
}

type Stepped = {readonly run: OrderRun; readonly context: OrderContext; readonly order: OrderRecord};

function begin(run: OrderRun, {order, since, engine, now, timing}: OrderContext & {readonly order: OrderRecord; readonly since: number}): OrderStep {
	const quietUntil = engine?.checksFencing === true ? now : since + timing.leaseMilliseconds + timing.flightMilliseconds;
	return {
		run: {
			step: run.step + 1, order, leadingSince: since, phase: 'due', dueAt: Math.max(now, quietUntil), takenAt: undefined,
		},
	};
}

function tick(stepped: Stepped): OrderStep {
	const {run, context: {now, wallClock, engine, timing}, order} = stepped;
	if (run.phase !== 'due' || now < run.dueAt) {
		return {run};
	}

	if (wallClock - order.issuedAt > timing.giveUpMilliseconds) {
		return complete(stepped, {outcome: 'failed', detail: `Not obeyed in ${timing.giveUpMilliseconds} ms`});
	}

	if (engine === undefined) {
		return {run: pause(stepped, timing.retryMilliseconds)};
	}

	const step = run.step + 1;
	return {run: {...run, step, phase: 'reading'}, action: {type: 'read-state', step}};
}

function onState(stepped: Stepped, state: EngineState | undefined): OrderStep {
	const {run, context: {now, timing}, order} = stepped;
	const standing = state === undefined ? undefined : orderStanding(order, state);
	if (standing === 'obeyed') {
		return complete(stepped, {outcome: 'done'});
	}

	if (standing === 'superseded') {
		return complete(stepped, {outcome: 'refused', detail: 'The engine obeyed a newer order'});
	}

	const isAtWork = run.takenAt !== undefined && now - run.takenAt < timing.resendMilliseconds;
	if (standing === undefined || isAtWork) {
		return {run: pause(stepped, timing.retryMilliseconds)};
	}

	const step = run.step + 1;
	return {run: {...run, step, phase: 'sending'}, action: {type: 'send', step, order}};
}

function onSent(stepped: Stepped, outcome: SendOutcome): OrderStep {
	const {run, context: {now, engine, timing}} = stepped;
	return match(outcome)
		.with({type: 'taken'}, () => ({run: {...pause(stepped, 0), takenAt: now}}))
		.with({type: 'refused'}, ({detail}) => complete(stepped, {outcome: 'refused', detail}))
		.with({type: 'failed'}, () => ({
			run: {...run, ...pause(stepped, engine?.checksFencing === true ? timing.retryMilliseconds : timing.flightMilliseconds)},
		}))
		.exhaustive();
}

function pause({run, context: {now}}: Stepped, milliseconds: number): OrderRun {
	return {
		...run, step: run.step + 1, phase: 'due', dueAt: now + milliseconds,
	};
}

function complete({run, context: {wallClock}, order: {orderId, fencing}}: Stepped, {outcome, detail}: {readonly outcome: OrderOutcome; readonly detail?: string}): OrderStep {
	const step = run.step + 1;
	const command: CompleteOrderCommand = {
		type: 'complete-order', orderId, fencing, outcome, detail, at: wallClock,
	};
	return {run: {...run, step, phase: 'completing'}, action: {type: 'complete', step, command}};
}
