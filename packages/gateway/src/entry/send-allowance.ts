import {type Clock, type ServiceId} from '@valehitch/core';
import {type WindowedRetryBudget} from '@valehitch/routing';
import {type Route} from '../configuration/routing-configuration.js';

/** Options of {@linkcode SendAllowance}. */
export type SendAllowanceOptions = {
	readonly route: Pick<Route, 'kind' | 'isResumable' | 'maximumAttempts'>;
	readonly service: ServiceId;
	readonly budget: Pick<WindowedRetryBudget, 'allows' | 'withdraw' | 'restore'>;
	readonly clock: Pick<Clock, 'monotonic'>;
};

/** The maximum number of failed connections. They do not count as sends, but a request must not try all servers one by one. */
const maximumUnreachable = 4;

/**
Counts the sends of one request, and limits retries by the maximum of its route and by the retry budget shared by all requests.

@example
```ts
const allowance = new SendAllowance({route, service, budget, clock});
allowance.countSend();
allowance.tryRetry();
allowance.restoreUnused(); // if the request ends without another send
```
*/
export class SendAllowance {
	/** Whether the request may run more than once. */
	readonly isRepeatable: boolean;
	readonly #options: SendAllowanceOptions;
	#sends = 0;
	#unreachable = 0;
	#needsNewConnection = false;
	/** When the retries were withdrawn that are not restored, in milliseconds on the monotonic clock. */
	readonly #withdrawnAt: number[] = [];

	constructor(options: SendAllowanceOptions) {
		const {kind, isResumable} = options.route;
		this.#options = options;
		this.isRepeatable = kind === 'safe' || (kind === 'streaming' && isResumable);
	}

	/** The number of sends that reached a server. */
	get sends(): number {
		return this.#sends;
	}

	/** The number of failed connections. */
	get connectionFailures(): number {
		return this.#unreachable;
	}

	/** Whether the next send is the last one that the route allows. */
	get isNextSendLast(): boolean {
		return this.#sends + 1 >= this.#options.route.maximumAttempts;
	}

	/** Whether a retry would be allowed now. */
	get canRetry(): boolean {
		const {service, budget, clock} = this.#options;
		return this.isRepeatable && this.#hasSends && budget.allows(service, clock.monotonic());
	}

	/** Whether the next send may go over a kept connection, which its server may have dropped: only if a loss can be retried, and not after a send that failed. */
	get mayUseKeptConnection(): boolean {
		return !this.#needsNewConnection && !this.isNextSendLast && this.canRetry;
	}

	/** Has all further sends use new connections, because one has failed. */
	requireNewConnections(): void {
		this.#needsNewConnection = true;
	}

	/** Counts a send. */
	countSend(): void {
		this.#sends++;
	}

	/**
	Takes back the count of a send whose connection failed.

	@returns Whether another server may be tried.
	*/
	revokeSend(): boolean {
		this.#sends--;
		this.#unreachable++;
		return this.#unreachable < maximumUnreachable;
	}

	/** Takes back the count of a send that did not reach a server, and says nothing about any. */
	cancelSend(): void {
		this.#sends--;
	}

	/**
	Withdraws a retry from the shared budget.

	@returns Whether the retry is allowed.
	*/
	tryRetry(): boolean {
		const {service, budget, clock} = this.#options;
		const now = clock.monotonic();
		const isAllowed = this.#hasSends && budget.withdraw(service, now);
		if (isAllowed) {
			this.#withdrawnAt.push(now);
		}

		return isAllowed;
	}

	/** Restores the retries that no send has used to the shared budget. A send that reached a server stays charged, since the budget limits the load of the servers. */
	restoreUnused(): void {
		const {service, budget} = this.#options;
		const used = Math.max(0, this.#sends - 1);
		for (const withdrawnAt of this.#withdrawnAt.splice(used)) {
			budget.restore(service, withdrawnAt);
		}
	}

	get #hasSends(): boolean {
		return this.#sends < this.#options.route.maximumAttempts;
	}
}
