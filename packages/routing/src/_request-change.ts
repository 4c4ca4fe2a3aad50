import {type ServerId} from '@valehitch/core';
import {type CallerAction, type RequestAction} from './request-action.js';
import {type RequestTarget} from './request-plan.js';
import {type AttemptState, type RequestState} from './request-state.js';

const maximumDraining = 32;

/** A step in the making: the state so far and the actions so far. */
export class RequestChange {
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	readonly #actions: RequestAction[] = [];
	#state: RequestState;

	constructor(state: RequestState, now: number) {
		this.#state = state;
		this.now = now;
	}

	get state(): RequestState {
		return this.#state;
	}

	get actions(): readonly RequestAction[] {
		return this.#actions;
	}

	/** The attempts that may still bring an answer. */
	get live(): AttemptState[] {
		return this.#state.attempts.filter(({status}) => status !== 'over');
	}

	/** The live attempts from which something is still expected soon. */
	get active(): AttemptState[] {
		return this.live.filter(({silent}) => !silent);
	}

	/** Whether the target gets no new work. */
	get permissionLost(): boolean {
		const {lost, target} = this.#state;
		return lost.some(other => isSameTarget(other, target));
	}

	/** Whether pieces are held until the answer is whole and accepted. */
	get holds(): boolean {
		const {plan, judged, callerLeft} = this.#state;
		return !plan.streamed || judged || callerLeft;
	}

	/** Replaces members of the state. */
	set(members: Partial<RequestState>): void {
		this.#state = {...this.#state, ...members};
	}

	/** Asks for an action. */
	act(action: RequestAction): void {
		this.#actions.push(action);
	}

	/** Asks for an action towards the caller, unless it left. */
	tell(action: CallerAction): void {
		if (!this.#state.callerLeft) {
			this.#actions.push(action);
		}
	}

	/** Finds an attempt that stands where it should. */
	attemptAt(number: number, status: AttemptState['status']): AttemptState | undefined {
		return this.#state.attempts.find(attempt => attempt.number === number && attempt.status === status);
	}

	/** Replaces members of an attempt. */
	setAttempt(number: number, members: Partial<AttemptState>): void {
		const attempts = this.#state.attempts.map(attempt => attempt.number === number ? {...attempt, ...members} : attempt);
		this.set({attempts});
	}

	/** Forgets an attempt that was never dispatched. */
	removeAttempt(number: number): void {
		this.set({attempts: this.#state.attempts.filter(attempt => attempt.number !== number)});
	}

	/** Sends no new work to a target. */
	lose(target: RequestTarget): void {
		const {lost} = this.#state;
		if (!lost.some(other => isSameTarget(other, target))) {
			this.set({lost: [...lost, target]});
		}
	}

	/** Gives no attempt to a server that is shutting down or gone. */
	avoid(server: ServerId): void {
		const {draining} = this.#state;
		if (draining.length < maximumDraining && !draining.includes(server)) {
			this.set({draining: [...draining, server]});
		}
	}

	/** Cancels the attempts that are live, but for one. */
	cancelOthers(kept?: number): void {
		for (const attempt of this.live) {
			if (attempt.number !== kept) {
				this.#cancel(attempt);
			}
		}
	}

	#cancel({number, status, received, resumeFrom}: AttemptState): void {
		if (status === 'choosing') {
			this.removeAttempt(number);
			return;
		}

		this.setAttempt(number, {status: 'over'});
		this.act({type: 'cancel-attempt', attempt: number});
		if (this.holds && received > resumeFrom) {
			this.act({type: 'drop-held', attempt: number});
		}
	}
}

function isSameTarget(one: RequestTarget, other: RequestTarget): boolean {
	if (one.type === 'version') {
		return other.type === 'version' && one.model === other.model && one.version === other.version;
	}

	return other.type === 'service' && one.service === other.service;
}
