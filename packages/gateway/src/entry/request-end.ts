import {type ErrorKind, type Failure, type ServiceId} from '@valehitch/core';
import {type Route} from '../configuration/routing-configuration.js';
import {type CallerAnswer, type CompleteAnswer} from './caller-answer.js';
import {type EntryContext} from './entry-context.js';
import {type ModelCascade} from './model-cascade.js';
import {type EndedRequest, recordRequestEnd, type RequestOutcome} from './record-request-end.js';
import {type RunProgress} from './run-progress.js';
import {type SendAllowance} from './send-allowance.js';

/** Whether a request is sent again or has ended. */
export type NextStep = 'retry' | 'ended';

/** Options of {@linkcode RequestEnd}. */
export type RequestEndOptions = {
	/** The caller's id of the request. */
	readonly request: string;
	readonly route: Route;
	readonly service: ServiceId;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	readonly answer: CallerAnswer;
	readonly allowance: Pick<SendAllowance, 'sends'>;
	readonly models: Pick<ModelCascade, 'current'>;
	/** What became of the request, for the line of a stream that is broken off. */
	readonly progress: Pick<RunProgress, 'fields'>;
};

/** Additional fields of the `request-ended` log line. */
type EndFields = EndedRequest['fields'];

/** Error kinds that do not imply that the request has not run. */
const kindsWithoutRunClaim: ReadonlySet<ErrorKind> = new Set(['deadline-exceeded-after-dispatch', 'request-quarantined']);

/**
Ends a request exactly once: with an answer, with a failure that states correctly whether the request may have run, or by aborting a stream.

@example
```ts
const end = new RequestEnd(context, {request: 'a1', route, service, arrivedAt, answer, allowance, models, progress});
end.fail(failure('no-server', 'No server is available'));
```
*/
export class RequestEnd {
	/** The problem of the last send. */
	lastProblem = 'none';
	readonly #context: Pick<EntryContext, 'clock' | 'log' | 'metrics' | 'notes'>;
	readonly #options: RequestEndOptions;
	#mayHaveRun = false;
	#hasEnded = false;
	#failedAnswer: CompleteAnswer | undefined;

	constructor(context: Pick<EntryContext, 'clock' | 'log' | 'metrics' | 'notes'>, options: RequestEndOptions) {
		this.#context = context;
		this.#options = options;
	}

	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	/** Whether any server may have run the request. */
	get mayHaveRun(): boolean {
		return this.#mayHaveRun;
	}

	/** Records that a server may have run the request. */
	recordPossibleRun(): void {
		this.#mayHaveRun = true;
	}

	/**
	Keeps the error answer of a backend server as the answer if no better one arrives.

	@param answer The answer; if undefined, the previous one is kept.
	*/
	keepFailedAnswer(answer: CompleteAnswer | undefined): void {
		this.#failedAnswer = answer ?? this.#failedAnswer;
	}

	/**
	Forwards the complete answer of a backend server. After the start of a stream it cannot be sent, so the stream is aborted.

	@param answer The answer.
	@param fields Additional fields of the log line; none by default.
	@returns That the request has ended.
	*/
	forward(answer: CompleteAnswer, fields: EndFields = {}): NextStep {
		if (this.#hasEnded) {
			return 'ended';
		}

		const {answer: writer} = this.#options;
		if (writer.hasStarted) {
			return this.#breakOff({reason: `A server answered the resumed stream with status ${answer.status}`, ...fields});
		}

		writer.forward(answer);
		return this.recordEnd('answered', {status: answer.status, ...fields});
	}

	/**
	Ends the request without a success: forwards the error answer of a backend server if there is one, and otherwise answers with the failure. A stream that has started is aborted.

	@param failed The reason.
	@returns That the request has ended.
	*/
	fail(failed: Failure): NextStep {
		if (this.#hasEnded) {
			return 'ended';
		}

		const {answer} = this.#options;
		if (answer.hasStarted) {
			return this.#breakOff({reason: failed.message});
		}

		if (this.#failedAnswer !== undefined) {
			return this.forward(this.#failedAnswer);
		}

		answer.refuse(this.#withoutFalseClaim(failed));
		return this.recordEnd('refused', {error: failed.kind, reason: failed.message, mayHaveRun: this.#mayHaveRun});
	}

	/**
	Records the end in the log and the metrics.

	@param outcome How it ended.
	@param fields Additional fields of the log line.
	@returns That the request has ended.
	*/
	recordEnd(outcome: RequestOutcome, fields: EndFields): NextStep {
		if (this.#hasEnded) {
			return 'ended';
		}

		this.#hasEnded = true;
		const {request, route, service, arrivedAt, answer, allowance, models} = this.#options;
		recordRequestEnd(this.#context, {
			request,
			route,
			outcome,
			arrivedAt,
			fields: {
				service,
				model: models.current,
				sends: allowance.sends,
				headAfter: answer.timeToHead === undefined ? undefined : Math.round(answer.timeToHead),
				...fields,
			},
		});
		this.#note(outcome, fields);
		return 'ended';
	}

	/** Aborts a stream that has started. The caller must not take a truncated answer for a complete one. */
	#breakOff(fields: EndFields): NextStep {
		this.#options.answer.abort();
		return this.recordEnd('broken-off', {...this.#options.progress.fields, ...fields});
	}

	#note(outcome: string, facts: EndFields): void {
		const {notes, clock} = this.#context;
		const {request, models} = this.#options;
		if (outcome !== 'answered' || notes.has(request)) {
			notes.record(request, {
				at: clock.monotonic(), kind: outcome, model: models.current, facts,
			});
		}
	}

	/** Replaces a failure that implies that the request has not run if a server may have run it, even for requests that may be repeated. */
	#withoutFalseClaim(failed: Failure): Failure {
		return this.#mayHaveRun && !kindsWithoutRunClaim.has(failed.kind) ? {...failed, kind: 'outcome-unknown'} : failed;
	}
}
