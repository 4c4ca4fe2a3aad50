import {
	type Clock, type RandomSource, type RequestId, type ServerId, type WorkspaceId, type ZoneId,
} from '@valehitch/core';
import {
	chooseServer, type DecisionHistory, OutlierEjection, PrefixFrequencies,
} from '@valehitch/routing';
import {type ServerTable} from '@valehitch/membership';
import {type Timeline} from '../../timeline.js';
import {type ChooseServerAction, type ServerChoice} from '../lifecycle/request-adapter.js';
import {AttemptBudgets} from './attempt-budgets.js';
import {type ServerActivity} from './server-activity.js';
import {ServerViews} from './server-views.js';

/** Options of a {@linkcode ServerSelector}. */
export type ServerSelectorOptions = {
	readonly servers: ServerTable;
	readonly zone: ZoneId;
	/** Returns the availability zones whose servers get no requests. */
	readonly evacuatedZones: () => ReadonlySet<ZoneId>;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly timeline: Timeline;
	readonly decisions: DecisionHistory;
	readonly activity: ServerActivity;
};

/** The request that needs a server. */
export type SelectionRequest = {
	readonly requestId: RequestId;
	readonly workspace: WorkspaceId;
	/** The version, as `versionKey` names it, or the service. */
	readonly target: string;
	/** The hash of the prompt prefix; undefined if the target has no prompt cache. */
	readonly prefix?: number | undefined;
};

const retryAfterMilliseconds = 1000;

/**
Selects a server for each attempt, within the budgets for additional attempts, and ejects servers whose requests fail.

@example
```ts
const choice = serverSelector.choose(action, {requestId, workspace, target});
```
*/
export class ServerSelector {
	readonly #options: ServerSelectorOptions;
	readonly #ejection = new OutlierEjection();
	readonly #budgets = new AttemptBudgets();
	readonly #prefixes = new PrefixFrequencies();
	readonly #views: ServerViews;

	constructor(options: ServerSelectorOptions) {
		this.#options = options;
		this.#views = new ServerViews({...options, ejection: this.#ejection});
	}

	/**
	Selects a server for an attempt.

	@param action The action of the request's state machine.
	@param request The request.
	@returns The server, or the reason why there is none.
	*/
	choose({
		attempt, purpose, excluded, budgeted,
	}: ChooseServerAction, {requestId, workspace, target, prefix}: SelectionRequest): ServerChoice {
		const {clock, zone, random, decisions, evacuatedZones} = this.#options;
		const options = {
			target, excluded: new Set(excluded), evacuatedZones: evacuatedZones(), zone, random, ...(prefix !== undefined && {prefix, prefixShare: this.#prefixes.count(prefix)}),
		};
		// A silent server may go on, so that it is better than none.
		const choice = chooseServer(this.#views.current(), options).altLazy(() => chooseServer(this.#views.current({avoidsSilent: false}), options));
		const recordDenial = (reason: string) => {
			decisions.recordAttempt(requestId, {
				attempt, purpose, servers: [], outcome: 'notRun', reason,
			});
		};

		if (choice.isLeft()) {
			const failed = choice.extract();
			recordDenial(failed.message);
			return {type: 'none', reason: 'none', retryAfterMilliseconds: failed.retryAfterMilliseconds ?? retryAfterMilliseconds};
		}

		// The budget is checked last, so that an attempt without an available server does not use it up.
		if (budgeted && !this.#budgets.tryWithdraw({purpose, workspace, target}, clock.monotonic())) {
			recordDenial('the budget is used up');
			return {type: 'none', reason: 'budget', retryAfterMilliseconds};
		}

		const {server, considered} = choice.unsafeCoerce();
		decisions.recordAttempt(requestId, {
			attempt, purpose, servers: considered, server,
		});
		return {type: 'chosen', server};
	}

	/**
	Checks whether a server other than a given one could run an attempt now and is not silent.

	@param target The version, as `versionKey` names it, or the service.
	@param server The server.
	@returns Whether there is one.
	*/
	hasOther(target: string, server: ServerId): boolean {
		const evacuatedZones = this.#options.evacuatedZones();
		return this.#views.current().some(({id, zone, loaded, draining, ejected}) => id !== server && loaded.has(target) && !draining && !ejected && !evacuatedZones.has(zone));
	}

	/**
	Checks whether a server is ejected since its requests failed.

	@param server The server.
	@returns Whether it is.
	*/
	isEjected(server: ServerId): boolean {
		return this.#ejection.isEjected(server, this.#options.clock.monotonic());
	}

	/**
	Records the outcome of an attempt for outlier ejection.

	@param server The server.
	@param failed Whether the failure is attributed to the server.
	*/
	recordOutcome(server: ServerId, failed: boolean): void {
		const {clock, servers, timeline} = this.#options;
		if (this.#ejection.record(server, {failed, now: clock.monotonic(), servers: servers.available().length})) {
			timeline.record('server-ejected', {server});
		}
	}
}
