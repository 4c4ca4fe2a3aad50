import {type Failure, type ServiceId} from '@valehitch/core';
import {type AnswerOutlook} from './answer-outlook.js';
import {type AuthorizedRequest} from './authorize-request.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest} from './gateway-request.js';
import {type ModelCascade} from './model-cascade.js';
import {promptWork} from './prompt-work.js';
import {type AdmissionCandidate} from './request-admission.js';
import {retryMilliseconds} from './retry-milliseconds.js';

/** Options of {@linkcode RunAdmission}. */
export type RunAdmissionOptions = {
	readonly request: GatewayRequest;
	readonly authorized: AuthorizedRequest;
	readonly service: ServiceId;
	readonly models: Pick<ModelCascade, 'current' | 'expected'>;
	readonly outlook: Pick<AnswerOutlook, 'timeAfter'>;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
};

/**
The admission of one request. Only routes with models are subject to it, since only their requests compete for the time in which servers process prompts.

@example
```ts
const admission = new RunAdmission(context, {request, authorized, service, models, outlook, arrivedAt, deadlineAt});
const rejected = await admission.admit();
```
*/
export class RunAdmission {
	readonly #context: Pick<EntryContext, 'admission' | 'latencies' | 'table'>;
	readonly #options: RunAdmissionOptions;
	readonly #ended = new AbortController();

	constructor(context: Pick<EntryContext, 'admission' | 'latencies' | 'table'>, options: RunAdmissionOptions) {
		this.#context = context;
		this.#options = options;
	}

	/** The delay after which a caller whose request the servers had no room for may return, in milliseconds. */
	get retryAfter(): number {
		const predicted = this.#competes ? this.#context.admission.retryAfter(this.#candidate) : undefined;
		return predicted ?? retryMilliseconds;
	}

	/**
	Waits until the request may be sent for the first time or has ended. A stream that is resumed is not held.

	@returns The failure if no server can serve the request in time; otherwise undefined.
	*/
	async admit(): Promise<Failure | undefined> {
		const isNewStream = this.#options.request.lastEventId === undefined;
		return this.#competes && isNewStream ? this.#context.admission.admit(this.#candidate) : undefined;
	}

	/** Ends the wait, because the caller has left or the deadline has passed. */
	end(): void {
		this.#ended.abort();
	}

	get #competes(): boolean {
		return this.#options.authorized.route.sizes.length > 0;
	}

	get #candidate(): AdmissionCandidate {
		const {request, authorized: {route, workspace}, service, models, outlook, arrivedAt, deadlineAt} = this.#options;
		return {
			request: request.id,
			service,
			priority: this.#context.table()?.urgencyOf(route, workspace) ?? route.priority,
			workspace: workspace?.id,
			work: promptWork(this.#context.latencies, {route, model: models.current, tokens: request.inputTokens}),
			targetLatency: route.targetLatency,
			arrivedAt,
			deadlineAt,
			answerTime: outlook.timeAfter(models.current, models.expected),
			ended: this.#ended.signal,
		};
	}
}
