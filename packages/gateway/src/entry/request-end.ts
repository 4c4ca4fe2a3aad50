import {type ErrorKind, type Failure, type ServiceId} from '@valehitch/core';
import {type Route} from '../configuration/routing-configuration.js';
import {type CallerAnswer, type WholeAnswer} from './caller-answer.js';
import {type EntryContext} from './entry-context.js';
import {type ModelSteps} from './model-steps.js';
import {type SendAllowance} from './send-allowance.js';

/** What follows for a request: another send, or nothing. */
export type Next = 'again' | 'ended';

/** Which request is ended, and what its end is told by. */
export type RequestEndOptions = {
	/** The caller's id of the request. */
	readonly request: string;
	readonly route: Route;
	readonly service: ServiceId;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	readonly answer: CallerAnswer;
	readonly allowance: Pick<SendAllowance, 'sends'>;
	readonly models: Pick<ModelSteps, 'current'>;
};

/** What goes into the last line about a request, beside what each has. */
type EndFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** These say nothing that a run would make untrue. */
const alwaysTrue: ReadonlySet<ErrorKind> = new Set(['deadline-exceeded-after-dispatch', 'request-quarantined']);
const millisecondsPerSecond = 1000;

/**
Ends a request exactly once: with an answer, with a failure that says truly whether it may have run, or by breaking a stream off.

@example
```ts
const end = new RequestEnd(context, {request: 'a1', route, service, arrivedAt, answer, allowance, models});
end.giveUp(failure('no-server', 'Got none'));
```
*/
export class RequestEnd {
	/** What became of the last send. */
	lastProblem = 'none';
	readonly #context: Pick<EntryContext, 'clock' | 'log' | 'metrics'>;
	readonly #options: RequestEndOptions;
	#mayHaveRun = false;
	#isOver = false;
	#held: WholeAnswer | undefined;

	constructor(context: Pick<EntryContext, 'clock' | 'log' | 'metrics'>, options: RequestEndOptions) {
		this.#context = context;
		this.#options = options;
	}

	get isOver(): boolean {
		return this.#isOver;
	}

	/** Whether any server may have run the request. */
	get mayHaveRun(): boolean {
		return this.#mayHaveRun;
	}

	/** Notes that a server may have run the request. */
	noteRun(): void {
		this.#mayHaveRun = true;
	}

	/**
	Keeps the failed answer of a backend server, for the case that no better one comes.

	@param answer The answer; the one before stays where there is none.
	*/
	hold(answer: WholeAnswer | undefined): void {
		this.#held = answer ?? this.#held;
	}

	/**
	Passes on the whole answer of a backend server.

	@param whole The answer.
	@returns That the request has ended.
	*/
	passOn(whole: WholeAnswer): Next {
		if (this.#isOver) {
			return 'ended';
		}

		this.#options.answer.passOn(whole);
		return this.end('answered', {status: whole.status});
	}

	/**
	Answers with a failed answer of a backend server, where there is one, else with the failure.

	@param failed Why the request is given up.
	@returns That the request has ended.
	*/
	giveUp(failed: Failure): Next {
		if (this.#isOver) {
			return 'ended';
		}

		const {answer} = this.#options;
		if (answer.hasBegun) {
			// An answer that ends early must not look complete.
			answer.breakOff();
			return this.end('broken-off', {reason: failed.message});
		}

		if (this.#held !== undefined) {
			return this.passOn(this.#held);
		}

		answer.refuse(this.#truthful(failed));
		return this.end('refused', {error: failed.kind, reason: failed.message, mayHaveRun: this.#mayHaveRun});
	}

	/**
	Notes the end, in the log and in the metrics.

	@param outcome How it ended.
	@param fields What else the line says.
	@returns That the request has ended.
	*/
	end(outcome: 'answered' | 'broken-off' | 'refused' | 'caller-left', fields: EndFields): Next {
		if (this.#isOver) {
			return 'ended';
		}

		this.#isOver = true;
		const {request, route, service, arrivedAt, answer, allowance, models} = this.#options;
		const {metrics, log, clock} = this.#context;
		const milliseconds = clock.monotonic() - arrivedAt;
		metrics.requests.inc({kind: route.kind, outcome});
		metrics.duration.observe({kind: route.kind}, milliseconds / millisecondsPerSecond);
		log('request-ended', {
			request,
			route: route.id,
			service,
			outcome,
			model: models.current,
			sends: allowance.sends,
			headAfter: answer.headAfter === undefined ? undefined : Math.round(answer.headAfter),
			duration: Math.round(milliseconds),
			...fields,
		}, outcome === 'answered' ? 'info' : 'warn');
		return 'ended';
	}

	/** A failure that promises that the request has not run is told only where no server may have run it, also where it may be repeated. */
	#truthful(failed: Failure): Failure {
		return this.#mayHaveRun && !alwaysTrue.has(failed.kind) ? {...failed, kind: 'outcome-unknown'} : failed;
	}
}
