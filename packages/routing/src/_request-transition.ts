import {type ServerId} from '@valehitch/core';
import {type CallerAction, type RequestAction} from './request-action.js';
import {type RequestTarget} from './request-plan.js';
import {type AttemptState, type RequestState} from './request-state.js';

const maximumExcludedServers = 32;

/** Accumulates the new state and the actions while one event is handled. */
export class RequestTransition {
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

	/** The attempts that can still produce an answer. */
	get liveAttempts(): AttemptState[] {
		return this.#state.attempts.filter(({status}) => status !== 'ended');
	}

	/** The live attempts that are not stalled. */
	get activeAttempts(): AttemptState[] {
		return this.liveAttempts.filter(({stalled}) => !stalled);
	}

	/** Whether new attempts on the current target are disallowed. */
	get isTargetDisallowed(): boolean {
		const {disallowedTargets, target} = this.#state;
		return disallowedTargets.some(other => isSameTarget(other, target));
	}

	/** Whether pieces are buffered until the answer is complete and accepted, instead of being forwarded as they arrive. */
	get buffersAnswer(): boolean {
		const {plan, judged, callerLeft} = this.#state;
		return !plan.streamed || judged || callerLeft;
	}

	/** Replaces the given members of the state. */
	update(members: Partial<RequestState>): void {
		this.#state = {...this.#state, ...members};
	}

	/** Appends an action for the adapter to carry out. */
	emit(action: RequestAction): void {
		this.#actions.push(action);
	}

	/** Appends an action that writes to the caller, unless the caller has disconnected. */
	emitToCaller(action: CallerAction): void {
		if (!this.#state.callerLeft) {
			this.#actions.push(action);
		}
	}

	/** Finds an attempt by number; undefined if it has another status. */
	findAttempt(number: number, status: AttemptState['status']): AttemptState | undefined {
		return this.#state.attempts.find(attempt => attempt.number === number && attempt.status === status);
	}

	/** Replaces the given members of an attempt. */
	updateAttempt(number: number, members: Partial<AttemptState>): void {
		const attempts = this.#state.attempts.map(attempt => attempt.number === number ? {...attempt, ...members} : attempt);
		this.update({attempts});
	}

	/** Deletes an attempt that was never dispatched. */
	removeAttempt(number: number): void {
		this.update({attempts: this.#state.attempts.filter(attempt => attempt.number !== number)});
	}

	/** Disallows new attempts on a target. */
	disallowTarget(target: RequestTarget): void {
		const {disallowedTargets} = this.#state;
		if (!disallowedTargets.some(other => isSameTarget(other, target))) {
			this.update({disallowedTargets: [...disallowedTargets, target]});
		}
	}

	/** Excludes a server that is shutting down or gone from further attempts. */
	excludeServer(server: ServerId): void {
		const {excludedServers} = this.#state;
		if (excludedServers.length < maximumExcludedServers && !excludedServers.includes(server)) {
			this.update({excludedServers: [...excludedServers, server]});
		}
	}

	/** Cancels all live attempts except the given one. */
	cancelOthers(keptAttempt?: number): void {
		for (const attempt of this.liveAttempts) {
			if (attempt.number !== keptAttempt) {
				this.#cancel(attempt);
			}
		}
	}

	#cancel({number, status, received, resumeFrom}: AttemptState): void {
		if (status === 'choosing') {
			this.removeAttempt(number);
			return;
		}

		this.updateAttempt(number, {status: 'ended'});
		this.emit({type: 'cancel-attempt', attempt: number});
		if (this.buffersAnswer && received > resumeFrom) {
			this.emit({type: 'drop-held', attempt: number});
		}
	}
}

function isSameTarget(one: RequestTarget, other: RequestTarget): boolean {
	if (one.type === 'version') {
		return other.type === 'version' && one.model === other.model && one.version === other.version;
	}

	return other.type === 'service' && one.service === other.service;
}
