import {failure, type ServerId} from '@valehitch/core';
import {match} from 'ts-pattern';
import {answerMessages, type Message} from './_test-answer.js';
import {
	Book, check, type Dispatch, type Run, servers, targets,
} from './_test-book.js';
import {type RequestAction} from './request-action.js';
import {type DispatchDenial, type RequestEvent} from './request-event.js';
import {startRequest, stepRequest} from './request-life.js';
import {type RequestPlan, type RequestTarget} from './request-plan.js';
import {type RequestState} from './request-state.js';

const noQuorum = failure('no-quorum', 'Got none');
const claimAnswers = ['taken', 'taken', 'taken', 'taken', 'taken', 'taken', 'taken', 'taken', 'in-progress', 'done', 'unknown', 'key-reused', 'no-quorum'] as const;
const drainSteps = 60;

/** Plays engines, callers, control replicas and clock round one request, from a list of chosen numbers. */
export class World {
	readonly book: Book;
	/** What went in and came out, for the report of a failure. */
	readonly trace: string[] = [];
	readonly #plan: RequestPlan;
	readonly #next: () => number;
	readonly #pending: Message[] = [];
	readonly #timers = new Set<string>();
	readonly #stopped = new Set<RequestTarget>();
	readonly #draining = new Set<ServerId>();
	#target: RequestTarget;
	#state: RequestState;
	#now = 0;
	#bytes = '';

	constructor(plan: RequestPlan, choices: readonly number[]) {
		let index = 0;
		this.#next = () => choices[index++ % choices.length] ?? 0;
		this.#plan = plan;
		this.#target = plan.target;
		this.book = new Book(plan);
		const {state, actions} = startRequest(plan);
		this.#state = state;
		this.#take(actions);
	}

	/** Plays the request to its deadline. */
	play(steps: number): void {
		for (let step = 0; step < steps; step++) {
			this.#now += this.#next() % 4;
			this.#disturb(this.#next() % 160);
			this.#deliverOne();
		}

		for (let step = 0; step < drainSteps; step++) {
			this.#deliverOne();
		}

		this.#now = Math.max(this.#now, this.#plan.deadline);
		this.#give({event: {type: 'timer', timer: 'deadline'}});
		this.book.close(this.#state.stage);
	}

	#disturb(roll: number): void {
		if (roll === 0) {
			this.book.callerLeft = true;
			this.#give({event: {type: 'caller-left'}});
		} else if (roll < 4) {
			this.#stop(this.#target, roll);
		} else if (roll < 8) {
			const server = this.#pick(servers);
			this.#draining.add(server);
			this.#give({event: {type: 'server-draining', server}});
			this.book.draining.add(server);
		} else if (roll < 30 && this.#timers.has('hedge')) {
			this.#now += 12;
			this.#give({event: {type: 'timer', timer: 'hedge'}});
		} else if (roll < 50 && this.#timers.delete('come-back')) {
			this.#give({event: {type: 'timer', timer: 'come-back'}});
		} else if (roll === 50) {
			this.#give({event: {type: 'instance-stopping'}});
		} else if (roll === 51) {
			this.#give({event: {type: 'timer', timer: 'deadline'}});
		}
	}

	/** Withdraws a target; the request is told at once, or finds out at its next dispatch. */
	#stop(target: RequestTarget, roll: number): void {
		this.#stopped.add(target);
		if (roll % 2 === 0) {
			this.#give({event: {type: 'permission-lost', target}});
			this.book.stopped.add(target);
		}
	}

	#deliverOne(): void {
		const picked = this.#pending[this.#next() % Math.max(1, this.#pending.length)];
		if (picked === undefined) {
			return;
		}

		// A connection keeps its order, but for a rare fault; the same goes for doubles.
		const attempt = attemptOf(picked);
		const first = this.#pending.find(message => attemptOf(message) === attempt) ?? picked;
		const message = attempt === undefined || this.#next() % 40 === 0 ? picked : first;
		this.#pending.splice(this.#pending.indexOf(message), 1);
		if (this.#next() % 40 === 0) {
			this.#pending.push(message);
		}

		this.#give(message);
	}

	#give({event, bytes = ''}: Message): void {
		this.#bytes = bytes;
		this.#note(event);
		const ended = this.#state.stage === 'ended';
		const {state, actions} = stepRequest(this.#state, {event, now: this.#now});
		this.#state = state;
		this.trace.push(JSON.stringify({event, actions}));
		check(!ended || actions.length === 0, 'acted after the end');
		this.#take(actions);
	}

	#note(event: RequestEvent): void {
		match(event)
			.with({type: 'claim-answered'}, ({answer}) => {
				this.book.claimAnswered(answer);
			})
			.with({type: 'bill-opened'}, () => {
				this.book.billOpened();
			})
			.with({type: 'bill-settled'}, () => {
				this.book.billSettled();
			})
			.with({type: 'dispatch-denied', reason: 'version-stopped'}, ({attempt}) => {
				const run = this.book.runOf(attempt);
				if (run?.cancelled === false) {
					this.book.stopped.add(run.dispatch.target);
				}
			})
			.with({type: 'attempt-connection-lost'}, ({attempt}) => {
				this.book.isConnectionLost ||= this.book.runOf(attempt)?.cancelled === false;
			})
			.otherwise(() => undefined);
	}

	#take(actions: readonly RequestAction[]): void {
		for (const action of actions) {
			this.#carryOut(action);
		}
	}

	#carryOut(action: RequestAction): void {
		match(action)
			.with({type: 'set-timer'}, ({timer, at}) => {
				check(at >= this.#now, 'set a timer in the past');
				this.#timers.add(timer);
			})
			.with({type: 'clear-timer'}, ({timer}) => {
				this.#timers.delete(timer);
			})
			.with({type: 'request-admission'}, () => {
				this.#later(this.#oneIn(20) ? {type: 'admission-refused', failure: failure('overloaded', 'Full')} : {type: 'admitted'});
			})
			.with({type: 'pin-session'}, ({target}) => {
				this.#later(this.#oneIn(20) ? {type: 'session-refused', failure: noQuorum} : {type: 'session-pinned', target});
			})
			.with({type: 'take-claim'}, () => {
				this.book.takeClaim();
				this.#later({type: 'claim-answered', answer: this.#pick(claimAnswers)});
			})
			.with({type: 'settle-claim'}, ({outcome}) => {
				this.book.settleClaim(outcome);
			})
			.with({type: 'open-bill'}, () => {
				this.book.openBill();
				this.#later(this.#oneIn(20) ? {type: 'bill-not-possible', failure: noQuorum} : {type: 'bill-opened'});
			})
			.with({type: 'settle-bill'}, ({lines}) => {
				this.book.settleBill(lines);
				this.#later({type: 'bill-settled'});
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
				this.book.cancel(attempt);
			})
			.with({type: 'judge-attempt'}, ({attempt}) => {
				this.#judge(attempt);
			})
			.otherwise(told => {
				this.book.tell(told, this.#bytes);
			});
	}

	#chooseVersion(): void {
		const open = targets.find(target => !this.#stopped.has(target));
		this.#later(open === undefined
			? {type: 'no-version', failure: failure('no-server', 'Got none')}
			: {type: 'version-chosen', target: open, judged: false});
		this.#target = open ?? this.#target;
	}

	#chooseServer(attempt: number, free: readonly ServerId[]): void {
		if (free.length === 0 || this.#oneIn(10)) {
			this.#later({
				type: 'no-server', attempt, reason: this.#pick(['none', 'budget']), retryAfterMilliseconds: 30,
			});
			return;
		}

		this.#later({type: 'server-chosen', attempt, server: this.#pick(free)});
	}

	#judge(attempt: number): void {
		if (this.#oneIn(2)) {
			this.#later({type: 'attempt-judged', attempt, verdict: 'accepted'});
			return;
		}

		this.#target = this.#pick(targets);
		this.#later({
			type: 'attempt-judged', attempt, verdict: 'escalated', target: this.#target, judged: this.#oneIn(2),
		});
	}

	/** The check right before the dispatch, and then what the back end does. */
	#dispatch(dispatch: Dispatch): void {
		const {attempt, target, server} = dispatch;
		const run = this.book.dispatch(dispatch);
		const reason = this.#denialOf(target, server);
		if (reason !== undefined) {
			this.#later({type: 'dispatch-denied', attempt, reason});
			return;
		}

		if (this.#plan.repeatable && !dispatch.freshConnection && this.#oneIn(12)) {
			this.#loseConnection(run);
			return;
		}

		const fate = this.#next() % 10;
		if (fate < 2) {
			this.#later({type: fate === 0 ? 'attempt-never-sent' : 'attempt-not-run', attempt});
			return;
		}

		this.book.start(run);
		this.#answer(run, fate);
	}

	/** A kept connection breaks before the answer begins; whether the server ran the request is not to be seen. */
	#loseConnection(run: Run): void {
		if (this.#oneIn(2)) {
			this.book.start(run);
		}

		this.#later({type: 'attempt-connection-lost', attempt: run.dispatch.attempt, message: 'Closed'});
	}

	#denialOf(target: RequestTarget, server: ServerId): DispatchDenial | undefined {
		if (this.#stopped.has(target)) {
			return 'version-stopped';
		}

		return this.#draining.has(server) ? 'server-draining' : undefined;
	}

	/** Queues what comes of a run, in the order of the connection. */
	#answer({dispatch}: Run, fate: number): void {
		this.#pending.push(...answerMessages(dispatch, {isSound: fate < 6, next: this.#next}));
	}

	#later(event: RequestEvent): void {
		this.#pending.push({event});
	}

	#pick<Value>(values: readonly [Value, ...Value[]] | readonly Value[]): Value {
		return values[this.#next() % values.length]!;
	}

	#oneIn(number: number): boolean {
		return this.#next() % number === 0;
	}
}

function attemptOf({event}: Message): number | undefined {
	return 'attempt' in event ? event.attempt : undefined;
}
