import {failure} from '@valehitch/core';
import {mayStartWhileStopping} from '@valehitch/routing';
import {type CallerAnswer} from './caller-answer.js';
import {type EntryContext} from './entry-context.js';
import {type StopMoment} from './instance-stop.js';
import {type RequestEnd} from './request-end.js';
import {type CancellableSend} from './send-attempt.js';
import {shuttingDownFailure} from './shutting-down-failure.js';

/** Options of {@linkcode RunStop}. */
export type RunStopOptions = {
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
	readonly answer: Pick<CallerAnswer, 'hasStarted'>;
	readonly end: Pick<RequestEnd, 'hasEnded' | 'mayHaveRun' | 'recordPossibleRun' | 'fail'>;
	/** Returns the current or last send; undefined if there is none, as while the request is held. */
	readonly currentSend: () => CancellableSend | undefined;
	/** Ends the wait for a better answer than one that is kept; returns whether there is one, which is then forwarded. */
	readonly forwardKept: () => boolean;
	/** Whether an earlier server may still go on with the request. */
	readonly isEarlierKept: () => boolean;
	/** Called when the request is ended because the instance stops. */
	readonly onEnded: () => void;
};

/** Why a request that has not run is refused. */
const tooLong = 'the time limit of the request ends too late';

/**
What the stop of the instance means for one request: whether it may still be sent, and its answer if it cannot end in time.

@example
```ts
const runStop = new RunStop(context, {deadlineAt, answer, end, currentSend, forwardKept, isEarlierKept, onEnded});
const unwatch = runStop.watch();
```
*/
export class RunStop {
	/** The failure of a request that may no longer be sent. */
	readonly refusal = shuttingDownFailure(tooLong);
	readonly #context: Pick<EntryContext, 'clock' | 'stop'>;
	readonly #options: RunStopOptions;

	constructor(context: Pick<EntryContext, 'clock' | 'stop'>, options: RunStopOptions) {
		this.#context = context;
		this.#options = options;
	}

	/** Whether the request may be sent now, for the first time or again. */
	get maySend(): boolean {
		return this.#mayStart(!this.#options.end.mayHaveRun && !this.#options.answer.hasStarted);
	}

	/** Whether the request may be sent again though it has an answer that can be forwarded instead. */
	get mayImprove(): boolean {
		return this.#mayStart(true);
	}

	/**
	Watches the stop until the request has ended.

	@returns A function that ends this.
	*/
	watch(): () => void {
		return this.#context.stop.watch(moment => {
			this.#onMoment(moment);
		});
	}

	#mayStart(isNotRun: boolean): boolean {
		const {clock, stop} = this.#context;
		return mayStartWhileStopping({
			deadlineAt: this.#options.deadlineAt, answersDueAt: stop.answersDueAt, isNotRun, now: clock.monotonic(),
		});
	}

	#onMoment(moment: StopMoment): void {
		const {answer, end, currentSend} = this.#options;
		if (end.hasEnded || answer.hasStarted) {
			return;
		}

		if (moment === 'answers-due') {
			if (!this.#options.forwardKept()) {
				this.#answerUnfinished();
			}
		} else if (currentSend() === undefined && !this.#options.isEarlierKept() && !this.maySend) {
			this.#end();
		}
	}

	/** Answers a request whose server has not: that says nothing about the server. */
	#answerUnfinished(): void {
		const {end, currentSend} = this.#options;
		const send = currentSend();
		if (send?.isSent() === true) {
			end.recordPossibleRun();
		}

		send?.cancel();
		this.#end();
	}

	#end(): void {
		const {end, onEnded} = this.#options;
		onEnded();
		end.fail(end.mayHaveRun ? failure('deadline-exceeded-after-dispatch', 'No server answered before the end of this instance') : this.refusal);
	}
}
