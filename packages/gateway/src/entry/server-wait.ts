import {type Failure, failure, type ServiceId} from '@valehitch/core';
import {awaitFirstServer, type AwaitFirstServerContext, type AwaitFirstServerOptions} from './await-first-server.js';
import {type EntryContext} from './entry-context.js';
import {retryMilliseconds} from './retry-milliseconds.js';

/** Options of {@linkcode ServerWait}. */
export type ServerWaitOptions = Omit<AwaitFirstServerOptions, 'since'> & {
	readonly service: ServiceId;
};

/** The part of the context that a wait uses. */
export type ServerWaitContext = AwaitFirstServerContext & Pick<EntryContext, 'random'> & {
	readonly servers: {readonly availability: Pick<EntryContext['servers']['availability'], 'isEvacuated' | 'waitFor'>};
	readonly borrower: Pick<EntryContext['borrower'], 'borrow'>;
};

/** How often a request asks other instances for a send. */
const maximumLoans = 3;
/** The retry delay while all availability zones of a service are evacuated, in milliseconds: an operator takes seconds to end an evacuation. */
const evacuatedRetryMilliseconds = 2000;

/**
What a request does while no server may get it: it borrows a send, or waits for the first server to appear.

@example
```ts
const failed = await new ServerWait(context, {service, allowance, deadlineAt}).next('none');
```
*/
export class ServerWait {
	readonly #context: ServerWaitContext;
	readonly #options: ServerWaitOptions;
	/** How often the request has asked other instances for a send. */
	#loans = 0;
	/** When the request first found no server: the handling before, such as a poll of pending input, takes nothing from its wait. */
	#since: number | undefined;

	constructor(context: ServerWaitContext, options: ServerWaitOptions) {
		this.#context = context;
		this.#options = options;
	}

	/**
	Waits until a server may be available.

	@param lastProblem What the last send met.
	@returns The failure if the request must not wait; otherwise undefined.
	*/
	async next(lastProblem: string): Promise<Failure | undefined> {
		const {servers: {availability}, clock} = this.#context;
		const {service} = this.#options;
		if (availability.isEvacuated(service)) {
			return failure('no-server', `All servers of ${service} are in evacuated availability zones`, {retryAfterMilliseconds: evacuatedRetryMilliseconds});
		}

		const now = clock.monotonic();
		const wait = availability.waitFor(service, now);
		const canRetry = wait > 0 ? await this.#borrowSend() : await this.#awaitFirst(now);
		return canRetry ? undefined : failure('no-server', `No server of ${service} is available for the request (${lastProblem})`, {retryAfterMilliseconds: this.#retryAfter(wait)});
	}

	/** Waits for the first server, for a bounded time from when none was found. */
	async #awaitFirst(now: number): Promise<boolean> {
		this.#since ??= now;
		return awaitFirstServer(this.#context, {...this.#options, since: this.#since});
	}

	/** Borrows a send from another instance if the rate limits of all servers leave none; a bounded number of times, since other requests may use it first. */
	async #borrowSend(): Promise<boolean> {
		this.#loans++;
		return this.#loans <= maximumLoans && this.#context.borrower.borrow(this.#options.service);
	}

	/** Callers of servers that take few requests return at different times, so that they do not compete for the same send. */
	#retryAfter(wait: number): number {
		return Math.max(retryMilliseconds, Math.round(wait * (1 + this.#context.random())));
	}
}
