import {type Clock, type ServiceId} from '@valehitch/core';
import {type RetryWindow} from '@valehitch/routing';
import {type Route} from '../configuration/routing-configuration.js';

/** What bounds the sends of one request. */
export type SendAllowanceOptions = {
	readonly route: Pick<Route, 'kind' | 'isResumable' | 'maximumAttempts'>;
	readonly service: ServiceId;
	readonly budget: Pick<RetryWindow, 'allows' | 'withdraw'>;
	readonly clock: Pick<Clock, 'monotonic'>;
};

/** Connections that do not open use up no send, but a request does not go through all servers one by one. */
const maximumUnreachable = 4;

/**
Counts the sends of one request, and tells whether another is allowed: by its route, and by the budget that all requests share.

@example
```ts
const allowance = new SendAllowance({route, service, budget, clock});
allowance.begin();
allowance.takeFurther();
```
*/
export class SendAllowance {
	/** Whether the request may run more than once. */
	readonly mayRepeat: boolean;
	readonly #options: SendAllowanceOptions;
	#sends = 0;
	#unreachable = 0;

	constructor(options: SendAllowanceOptions) {
		const {kind, isResumable} = options.route;
		this.#options = options;
		this.mayRepeat = kind === 'safe' || (kind === 'streaming' && isResumable);
	}

	/** The sends that reached a server. */
	get sends(): number {
		return this.#sends;
	}

	/** The servers to which no connection opened. */
	get unreachable(): number {
		return this.#unreachable;
	}

	/** Whether the route allows no further send after the next one. */
	get isNextLast(): boolean {
		return this.#sends + 1 >= this.#options.route.maximumAttempts;
	}

	/** Whether a further send would be allowed now. */
	get hasFurther(): boolean {
		const {service, budget, clock} = this.#options;
		return this.mayRepeat && this.#hasSends && budget.allows(service, clock.monotonic());
	}

	/** Counts a send that begins. */
	begin(): void {
		this.#sends++;
	}

	/**
	Takes back a send whose connection did not open.

	@returns Whether another server may be tried.
	*/
	takeBack(): boolean {
		this.#sends--;
		this.#unreachable++;
		return this.#unreachable < maximumUnreachable;
	}

	/**
	Asks for a further send, and pays for it from the shared budget.

	@returns Whether it is allowed.
	*/
	takeFurther(): boolean {
		const {service, budget, clock} = this.#options;
		return this.#hasSends && budget.withdraw(service, clock.monotonic());
	}

	get #hasSends(): boolean {
		return this.#sends < this.#options.route.maximumAttempts;
	}
}
