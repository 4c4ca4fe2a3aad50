import {
	outcomeOf, type ServerId, toId,
} from '@valehitch/core';
import {
	type AttemptBillLine, type CallerAction, type ClaimOutcome, type RequestAction,
} from './request-action.js';
import {type ClaimResult} from './request-event.js';
import {type RequestPlan, type RequestTarget} from './request-plan.js';

export type Dispatch = Extract<RequestAction, {readonly type: 'dispatch'}>;

/** An attempt as observed by the backend server. */
export type Run = {
	readonly dispatch: Dispatch;
	ran: boolean;
	cancelled: boolean;
};

export const servers = ['engine-1', 'engine-2', 'engine-3', 'engine-4'].map(name => toId<ServerId>(name));
export const targets: readonly RequestTarget[] = [
	{type: 'version', model: toId('small'), version: toId('1')},
	{type: 'version', model: toId('large'), version: toId('2')},
	{type: 'service', service: toId('labels')},
];

const texts = ['The coil 4711 was poured in heat 93', 'Sheet 12 has two seeds and one stone', 'label 5 printed'];

/** Returns the complete answer of a target. */
export function textOf(target: RequestTarget): string {
	return texts[targets.indexOf(target)] ?? '';
}

/** Throws an error if an invariant is violated. */
export function assertInvariant(condition: boolean, violation: string): void {
	if (!condition) {
		throw new Error(violation);
	}
}

const claimByAnswer = {
	taken: 'taken', done: 'kept', 'in-progress': 'foreign', unknown: 'foreign', 'key-reused': 'foreign',
} as const;

/** Records what the caller, the backend servers and the ledger observe of one request, and checks each action against the invariants. */
export class RequestAudit {
	readonly runs: Run[] = [];
	callerLeft = false;
	/** Whether a reused connection broke during an attempt. */
	isConnectionLost = false;
	/** The final action towards the caller, or `none`. */
	ending = 'none';
	/** Targets that the state machine knows to be disallowed. */
	readonly stopped = new Set<RequestTarget>();
	/** Servers that the state machine knows to be shutting down. */
	readonly draining = new Set<ServerId>();
	readonly #plan: RequestPlan;
	readonly #held = new Map<number, string>();
	readonly #bill = {
		opened: 0, held: 0, settled: 0, acknowledged: 0,
	};

	#delivered = '';
	#claim: 'none' | 'pending' | 'taken' | 'foreign' | 'kept' | 'ended' = 'none';

	constructor(plan: RequestPlan) {
		this.#plan = plan;
	}

	get ran(): number {
		return this.runs.filter(({ran}) => ran).length;
	}

	runOf(attempt: number): Run | undefined {
		return this.runs.find(({dispatch}) => dispatch.attempt === attempt);
	}

	takeClaim(): void {
		assertInvariant(this.#claim === 'none', 'took a claim twice');
		this.#claim = 'pending';
	}

	claimAnswered(answer: ClaimResult): void {
		if (this.#claim === 'pending' && answer !== 'no-quorum') {
			this.#claim = claimByAnswer[answer];
		}
	}

	settleClaim(outcome: ClaimOutcome): void {
		assertInvariant(this.#claim === 'taken' || this.#claim === 'pending', 'settled a claim that it does not hold');
		assertInvariant(outcome !== 'released' || this.ran === 0, 'released the claim of a request that ran');
		this.#claim = 'ended';
	}

	openBill(): void {
		this.#bill.opened++;
	}

	billOpened(): void {
		this.#bill.held++;
	}

	settleBill(lines: readonly AttemptBillLine[]): void {
		this.#bill.settled++;
		assertInvariant(new Set(lines.map(({attempt}) => attempt)).size === lines.length, 'billed an attempt twice');
		for (const {dispatch, ran} of this.runs) {
			const line = lines.find(({attempt}) => attempt === dispatch.attempt);
			assertInvariant(line !== undefined || !ran, 'omitted an attempt that ran from the bill');
			assertInvariant(line?.outcome !== 'notRun' || !ran, 'billed an attempt that ran as not run');
			assertInvariant(line?.outcome !== 'ran' || ran, 'billed an attempt that did not run');
			assertInvariant(line === undefined || line.outcome === 'ran' || line.usage.input + line.usage.output === 0, 'billed usage for an attempt that is not known to have run');
		}
	}

	billSettled(): void {
		this.#bill.acknowledged++;
	}

	dispatch(dispatch: Dispatch): Run {
		const {target, server, purpose, attempt} = dispatch;
		assertInvariant(!this.stopped.has(target), 'dispatched to a disallowed target');
		assertInvariant(!this.draining.has(server), 'dispatched to a server that is draining');
		assertInvariant(this.#bill.opened === 1 && this.#bill.held > 0 && this.#bill.settled === 0, 'dispatched without an open bill');
		assertInvariant(!this.#plan.requiresClaim || this.#claim === 'taken', 'dispatched without the claim');
		assertInvariant(this.ending === 'none', 'dispatched after the final answer');
		assertInvariant(purpose !== 'hedge' || this.#plan.repeatable, 'hedged a request that is not repeatable');
		assertInvariant(!this.isConnectionLost || dispatch.freshConnection, 'reused a connection after a reused one had broken');
		assertInvariant(this.runOf(attempt) === undefined, 'used an attempt number twice');
		const run = {dispatch, ran: false, cancelled: false};
		this.runs.push(run);
		return run;
	}

	start(run: Run): void {
		run.ran = true;
		assertInvariant(this.#plan.repeatable || this.ran === 1, 'ran a request twice that is not repeatable');
	}

	cancel(attempt: number): void {
		const run = this.runOf(attempt);
		assertInvariant(run?.cancelled === false, 'cancelled an attempt that is not in progress');
		run!.cancelled = true;
	}

	recordCallerAction(action: CallerAction, bytes: string): void {
		assertInvariant(this.ending === 'none' && !(this.callerLeft && action.type.startsWith('forward')), 'emitted a caller action after the end');
		const buffered = 'attempt' in action ? this.#held.get(action.attempt) ?? '' : '';
		switch (action.type) {
			case 'forward-piece': {
				assertInvariant(this.runOf(action.attempt)?.cancelled === false, 'forwarded a piece of a cancelled attempt');
				this.#delivered += bytes;
				break;
			}

			case 'hold-piece': {
				this.#held.set(action.attempt, buffered + bytes);
				break;
			}

			case 'forward-held': {
				this.#delivered += buffered;
				break;
			}

			case 'drop-held': {
				this.#held.delete(action.attempt);
				break;
			}

			case 'finish-answer': {
				const run = this.runOf(action.attempt);
				assertInvariant(run?.ran === true && this.#delivered === textOf(run.dispatch.target), `finished with the wrong answer "${this.#delivered}"`);
				assertInvariant([...this.#held.keys()].every(attempt => attempt === action.attempt), 'kept the buffered pieces of a failed attempt');
				assertInvariant(this.#bill.acknowledged > 0, 'finished before the bill was settled');
				this.#end(action.type);
				break;
			}

			case 'replay-answer': {
				assertInvariant(this.#claim === 'kept', 'replayed an answer that no claim has stored');
				this.#end(action.type);
				break;
			}

			case 'refuse': {
				assertInvariant(outcomeOf(action.failure) !== 'notRun' || this.ran === 0, 'reported a request that ran as not run');
				assertInvariant(action.partial === (this.#delivered !== ''), 'reported wrongly whether the answer is partial');
				this.#end(`refuse ${outcomeOf(action.failure)}`);
				break;
			}
		}
	}

	checkEnd(stage: string): void {
		assertInvariant(stage === 'ended', 'did not end by the deadline');
		assertInvariant(this.ending !== 'none' || this.callerLeft, 'ended without a final answer');
		assertInvariant(this.#bill.opened <= 1 && this.#bill.opened === this.#bill.settled, 'did not settle the bill exactly once');
		assertInvariant(this.#claim !== 'pending' && this.#claim !== 'taken', 'left a claim unsettled');
	}

	#end(ending: string): void {
		assertInvariant(!this.callerLeft, 'answered a caller that had left');
		this.ending = ending;
	}
}
