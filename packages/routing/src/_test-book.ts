import {
	outcomeOf, type ServerId, toId,
} from '@valehitch/core';
import {
	type AttemptLine, type CallerAction, type ClaimOutcome, type RequestAction,
} from './request-action.js';
import {type ClaimAnswer} from './request-event.js';
import {type RequestPlan, type RequestTarget} from './request-plan.js';

export type Dispatch = Extract<RequestAction, {readonly type: 'dispatch'}>;

/** One attempt as the back end saw it. */
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

/** What the whole answer of a target is. */
export function textOf(target: RequestTarget): string {
	return texts[targets.indexOf(target)] ?? '';
}

/** Fails the test unless a promise holds. */
export function check(holds: boolean, complaint: string): void {
	if (!holds) {
		throw new Error(complaint);
	}
}

const claimAfter = {
	taken: 'taken', done: 'kept', 'in-progress': 'foreign', unknown: 'foreign', 'key-reused': 'foreign',
} as const;

/** What the caller, the back ends and the ledger saw of one request; every entry is checked as it is made. */
export class Book {
	readonly runs: Run[] = [];
	callerLeft = false;
	/** Whether a kept connection broke under an attempt. */
	isConnectionLost = false;
	/** The last answer to the caller, or `none`. */
	ending = 'none';
	/** Targets that the machine knows to get no new work. */
	readonly stopped = new Set<RequestTarget>();
	/** Servers that the machine knows to be shutting down. */
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
		check(this.#claim === 'none', 'took a claim twice');
		this.#claim = 'pending';
	}

	claimAnswered(answer: ClaimAnswer): void {
		if (this.#claim === 'pending' && answer !== 'no-quorum') {
			this.#claim = claimAfter[answer];
		}
	}

	settleClaim(outcome: ClaimOutcome): void {
		check(this.#claim === 'taken' || this.#claim === 'pending', 'settled a claim that is not its own');
		check(outcome !== 'released' || this.ran === 0, 'released a claim though the request ran');
		this.#claim = 'ended';
	}

	openBill(): void {
		this.#bill.opened++;
	}

	billOpened(): void {
		this.#bill.held++;
	}

	settleBill(lines: readonly AttemptLine[]): void {
		this.#bill.settled++;
		check(new Set(lines.map(({attempt}) => attempt)).size === lines.length, 'billed an attempt twice');
		for (const {dispatch, ran} of this.runs) {
			const line = lines.find(({attempt}) => attempt === dispatch.attempt);
			check(line !== undefined || !ran, 'left an attempt that ran off the bill');
			check(line?.outcome !== 'notRun' || !ran, 'billed an attempt that ran as not run');
			check(line?.outcome !== 'ran' || ran, 'billed an attempt that did not run');
			check(line === undefined || line.outcome === 'ran' || line.usage.input + line.usage.output === 0, 'put a cost to an attempt that is not known to have run');
		}
	}

	billSettled(): void {
		this.#bill.acknowledged++;
	}

	dispatch(dispatch: Dispatch): Run {
		const {target, server, purpose, attempt} = dispatch;
		check(!this.stopped.has(target), 'dispatched to a target that gets no new work');
		check(!this.draining.has(server), 'dispatched to a server that is draining');
		check(this.#bill.opened === 1 && this.#bill.held > 0 && this.#bill.settled === 0, 'dispatched without a bill that is held');
		check(!this.#plan.claimed || this.#claim === 'taken', 'dispatched without the claim');
		check(this.ending === 'none', 'dispatched after the answer');
		check(purpose !== 'hedge' || this.#plan.repeatable, 'hedged what may not be repeated');
		check(!this.isConnectionLost || dispatch.freshConnection, 'took a kept connection after one had broken');
		check(this.runOf(attempt) === undefined, 'used the number of an attempt twice');
		const run = {dispatch, ran: false, cancelled: false};
		this.runs.push(run);
		return run;
	}

	start(run: Run): void {
		run.ran = true;
		check(this.#plan.repeatable || this.ran === 1, 'ran twice what may not be repeated');
	}

	cancel(attempt: number): void {
		const run = this.runOf(attempt);
		check(run?.cancelled === false, 'cancelled an attempt that is not in progress');
		run!.cancelled = true;
	}

	tell(action: CallerAction, bytes: string): void {
		check(this.ending === 'none' && !(this.callerLeft && action.type.startsWith('forward')), 'told the caller something after the end');
		const held = 'attempt' in action ? this.#held.get(action.attempt) ?? '' : '';
		switch (action.type) {
			case 'forward-piece': {
				check(this.runOf(action.attempt)?.cancelled === false, 'forwarded a piece of a cancelled attempt');
				this.#delivered += bytes;
				break;
			}

			case 'hold-piece': {
				this.#held.set(action.attempt, held + bytes);
				break;
			}

			case 'forward-held': {
				this.#delivered += held;
				break;
			}

			case 'drop-held': {
				this.#held.delete(action.attempt);
				break;
			}

			case 'finish-answer': {
				const run = this.runOf(action.attempt);
				check(run?.ran === true && this.#delivered === textOf(run.dispatch.target), `finished with "${this.#delivered}"`);
				check([...this.#held.keys()].every(attempt => attempt === action.attempt), 'kept the pieces of an attempt that came to nothing');
				check(this.#bill.acknowledged > 0, 'finished before the bill was settled');
				this.#end(action.type);
				break;
			}

			case 'replay-answer': {
				check(this.#claim === 'kept', 'replayed an answer that no claim kept');
				this.#end(action.type);
				break;
			}

			case 'refuse': {
				check(outcomeOf(action.failure) !== 'notRun' || this.ran === 0, 'said not run of a request that ran');
				check(action.partial === (this.#delivered !== ''), 'said the wrong thing about a partial answer');
				this.#end(`refuse ${outcomeOf(action.failure)}`);
				break;
			}
		}
	}

	close(stage: string): void {
		check(stage === 'ended', 'did not end by the deadline');
		check(this.ending !== 'none' || this.callerLeft, 'gave no final answer');
		check(this.#bill.opened <= 1 && this.#bill.opened === this.#bill.settled, 'did not settle the bill exactly once');
		check(this.#claim !== 'pending' && this.#claim !== 'taken', 'left a claim without an end');
	}

	#end(ending: string): void {
		check(!this.callerLeft, 'answered a caller that left');
		this.ending = ending;
	}
}
