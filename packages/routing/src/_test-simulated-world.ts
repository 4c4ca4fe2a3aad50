import {failure, type ServerId} from '@valehitch/core';
import {match} from 'ts-pattern';
import {answerMessages, type PendingMessage} from './_test-answer.js';
import {
	assertInvariant, type Dispatch, RequestAudit, type Run, servers, targets,
} from './_test-request-audit.js';
import {type RequestAction} from './request-action.js';
import {type DispatchDenialReason, type ExternalEvent, type RequestEvent} from './request-event.js';
import {startRequest, stepRequest} from './request-state-machine.js';
import {type RequestPlan, type RequestTarget} from './request-plan.js';
import {type RequestState} from './request-state.js';

const noQuorum = failure('no-quorum', 'Got none');
const claimAnswers = ['taken', 'taken', 'taken', 'taken', 'taken', 'taken', 'taken', 'taken', 'in-progress', 'done', 'unknown', 'key-reused', 'no-quorum'] as const;
const finalDeliveries = 60;

/** Simulates the engines, the caller, the control replicas and the clock around one request, driven by a list of numbers. */
export class SimulatedWorld {
	readonly audit: RequestAudit;
	/** All events and the resulting actions, for failure reports. */
	readonly trace: string[] = [];
	readonly #plan: RequestPlan;
	readonly #nextNumber: () => number;
	readonly #pending: PendingMessage[] = [];
	readonly #timers = new Set<string>();
	readonly #stopped = new Set<RequestTarget>();
	readonly #draining = new Set<ServerId>();
	#target: RequestTarget;
	#state: RequestState;
	#now = 0;
	#bytes = '';

	constructor(plan: RequestPlan, choices: readonly number[]) {
		let index = 0;
		this.#nextNumber = () => choices[index++ % choices.length] ?? 0;
		this.#plan = plan;
		this.#target = plan.target;
		this.audit = new RequestAudit(plan);
		const {state, actions} = startRequest(plan);
		this.#state = state;
		this.#performAll(actions);
	}

	/** Runs the request up to its deadline. */
	run(steps: number): void {
		for (let step = 0; step < steps; step++) {
			this.#now += this.#nextNumber() % 4;
			this.#injectEvent(this.#nextNumber() % 160);
			this.#deliverNext();
		}

		for (let step = 0; step < finalDeliveries; step++) {
			this.#deliverNext();
		}

		this.#now = Math.max(this.#now, this.#plan.deadline);
		this.#step({event: {type: 'timer', timer: 'deadline'}});
		this.audit.checkEnd(this.#state.stage);
	}

	#injectEvent(roll: number): void {
		if (roll === 0) {
			this.audit.callerLeft = true;
			this.#step({event: {type: 'caller-left'}});
		} else if (roll < 4) {
			this.#withdrawTarget(this.#target, roll);
		} else if (roll < 8) {
			const server = this.#pick(servers);
			this.#draining.add(server);
			this.#step({event: {type: 'server-draining', server}});
			this.audit.draining.add(server);
		} else if (roll < 30 && this.#timers.has('hedge')) {
			this.#now += 12;
			this.#step({event: {type: 'timer', timer: 'hedge'}});
		} else if (roll < 50 && this.#timers.delete('come-back')) {
			this.#step({event: {type: 'timer', timer: 'come-back'}});
		} else if (roll >= 50) {
			this.#injectLateEvent(roll);
		}
	}

	#injectLateEvent(roll: number): void {
		const events: ReadonlyMap<number, ExternalEvent> = new Map<number, ExternalEvent>([
			[50, {type: 'instance-stopping', answersDueAt: 2 * this.#now}],
			[51, {type: 'timer', timer: 'deadline'}],
			[52, {type: 'answers-due'}],
		]);
		const event = events.get(roll);
		if (event !== undefined) {
			this.#step({event});
		}
	}

	/** Withdraws a target. The request is either notified at once or finds out at its next dispatch. */
	#withdrawTarget(target: RequestTarget, roll: number): void {
		this.#stopped.add(target);
		if (roll % 2 === 0) {
			this.#step({event: {type: 'permission-lost', target}});
			this.audit.stopped.add(target);
		}
	}

	#deliverNext(): void {
		const picked = this.#pending[this.#nextNumber() % Math.max(1, this.#pending.length)];
		if (picked === undefined) {
			return;
		}

		// Events of an attempt arrive in order, except that one in 40 is reordered and one in 40 is duplicated.
		const attempt = attemptOf(picked);
		const first = this.#pending.find(message => attemptOf(message) === attempt) ?? picked;
		const message = attempt === undefined || this.#nextNumber() % 40 === 0 ? picked : first;
		this.#pending.splice(this.#pending.indexOf(message), 1);
		if (this.#nextNumber() % 40 === 0) {
			this.#pending.push(message);
		}

		this.#step(message);
	}

	#step({event, bytes = ''}: PendingMessage): void {
		this.#bytes = bytes;
		this.#recordEvent(event);
		const ended = this.#state.stage === 'ended';
		const {state, actions} = stepRequest(this.#state, {event, now: this.#now});
		this.#state = state;
		this.trace.push(JSON.stringify({event, actions}));
		assertInvariant(!ended || actions.length === 0, 'emitted actions after the end');
		this.#performAll(actions);
	}

	#recordEvent(event: RequestEvent): void {
		match(event)
			.with({type: 'claim-answered'}, ({answer}) => {
				this.audit.claimAnswered(answer);
			})
			.with({type: 'bill-opened'}, () => {
				this.audit.billOpened();
			})
			.with({type: 'bill-settled'}, () => {
				this.audit.billSettled();
			})
			.with({type: 'dispatch-denied', reason: 'version-stopped'}, ({attempt}) => {
				const run = this.audit.runOf(attempt);
				if (run?.cancelled === false) {
					this.audit.stopped.add(run.dispatch.target);
				}
			})
			.with({type: 'attempt-connection-lost'}, ({attempt}) => {
				this.audit.isConnectionLost ||= this.audit.runOf(attempt)?.cancelled === false;
			})
			.otherwise(() => undefined);
	}

	#performAll(actions: readonly RequestAction[]): void {
		for (const action of actions) {
			this.#perform(action);
		}
	}

	#perform(action: RequestAction): void {
		match(action)
			.with({type: 'set-timer'}, ({timer, at}) => {
				assertInvariant(at >= this.#now, 'set a timer in the past');
				this.#timers.add(timer);
			})
			.with({type: 'clear-timer'}, ({timer}) => {
				this.#timers.delete(timer);
			})
			.with({type: 'request-admission'}, () => {
				this.#enqueue(this.#oneIn(20) ? {type: 'admission-refused', failure: failure('overloaded', 'Full')} : {type: 'admitted'});
			})
			.with({type: 'pin-session'}, ({target}) => {
				this.#enqueue(this.#oneIn(20) ? {type: 'session-refused', failure: noQuorum} : {type: 'session-pinned', target});
			})
			.with({type: 'take-claim'}, () => {
				this.audit.takeClaim();
				this.#enqueue({type: 'claim-answered', answer: this.#pick(claimAnswers)});
			})
			.with({type: 'settle-claim'}, ({outcome}) => {
				this.audit.settleClaim(outcome);
			})
			.with({type: 'open-bill'}, () => {
				this.audit.openBill();
				this.#enqueue(this.#oneIn(20) ? {type: 'bill-not-possible', failure: noQuorum} : {type: 'bill-opened'});
			})
			.with({type: 'settle-bill'}, ({lines}) => {
				this.audit.settleBill(lines);
				this.#enqueue({type: 'bill-settled'});
			})
			.with({type: 'choose-version'}, () => {
				this.#chooseVersion();
			})
			.with({type: 'choose-server'}, ({attempt, excluded}) => {
				this.#chooseServer(attempt, servers.filter(server => !excluded.includes(server)));
			})
			.with({type: 'dispatch'}, dispatch => {
				this.#dispatch(dispatch);
			})
			.with({type: 'cancel-attempt'}, ({attempt}) => {
				this.audit.cancel(attempt);
			})
			.with({type: 'judge-attempt'}, ({attempt}) => {
				this.#judge(attempt);
			})
			.otherwise(action => {
				this.audit.recordCallerAction(action, this.#bytes);
			});
	}

	#chooseVersion(): void {
		const open = targets.find(target => !this.#stopped.has(target));
		this.#enqueue(open === undefined
			? {type: 'no-version', failure: failure('no-server', 'Got none')}
			: {type: 'version-chosen', target: open, judged: false});
		this.#target = open ?? this.#target;
	}

	#chooseServer(attempt: number, free: readonly ServerId[]): void {
		if (free.length === 0 || this.#oneIn(10)) {
			this.#enqueue({
				type: 'no-server', attempt, reason: this.#pick(['none', 'budget']), retryAfterMilliseconds: 30,
			});
			return;
		}

		this.#enqueue({type: 'server-chosen', attempt, server: this.#pick(free)});
	}

	#judge(attempt: number): void {
		if (this.#oneIn(2)) {
			this.#enqueue({type: 'attempt-judged', attempt, verdict: 'accepted'});
			return;
		}

		this.#target = this.#pick(targets);
		this.#enqueue({
			type: 'attempt-judged', attempt, verdict: 'escalated', target: this.#target, judged: this.#oneIn(2),
		});
	}

	/** Performs the check right before the dispatch, then simulates the backend server. */
	#dispatch(dispatch: Dispatch): void {
		const {attempt, target, server} = dispatch;
		const run = this.audit.dispatch(dispatch);
		const reason = this.#denialOf(target, server);
		if (reason !== undefined) {
			this.#enqueue({type: 'dispatch-denied', attempt, reason});
			return;
		}

		if (this.#plan.repeatable && !dispatch.freshConnection && this.#oneIn(12)) {
			this.#loseConnection(run);
			return;
		}

		const outcomeRoll = this.#nextNumber() % 10;
		if (outcomeRoll < 2) {
			this.#enqueue({type: outcomeRoll === 0 ? 'attempt-never-sent' : 'attempt-not-run', attempt});
			return;
		}

		this.audit.start(run);
		this.#answer(run, outcomeRoll);
	}

	/** Breaks a reused connection before the answer begins, so that it is unknown whether the server ran the request. */
	#loseConnection(run: Run): void {
		if (this.#oneIn(2)) {
			this.audit.start(run);
		}

		this.#enqueue({type: 'attempt-connection-lost', attempt: run.dispatch.attempt, message: 'Closed'});
	}

	#denialOf(target: RequestTarget, server: ServerId): DispatchDenialReason | undefined {
		if (this.#stopped.has(target)) {
			return 'version-stopped';
		}

		return this.#draining.has(server) ? 'server-draining' : undefined;
	}

	/** Enqueues the events of a run in connection order. */
	#answer({dispatch}: Run, fate: number): void {
		this.#pending.push(...answerMessages(dispatch, {isComplete: fate < 6, next: this.#nextNumber}));
	}

	#enqueue(event: RequestEvent): void {
		this.#pending.push({event});
	}

	#pick<Value>(values: readonly [Value, ...Value[]] | readonly Value[]): Value {
		return values[this.#nextNumber() % values.length]!;
	}

	#oneIn(number: number): boolean {
		return this.#nextNumber() % number === 0;
	}
}

function attemptOf({event}: PendingMessage): number | undefined {
	return 'attempt' in event ? event.attempt : undefined;
}
