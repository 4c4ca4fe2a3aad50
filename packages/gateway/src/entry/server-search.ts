import {type Failure, failure, type ModelId} from '@valehitch/core';
import {RequestPath} from '@valehitch/routing';
import {type Relay} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryContext} from './entry-context.js';
import {type Placement} from './placement.js';
import {type RequestEnd} from './request-end.js';
import {retryMilliseconds} from './retry-milliseconds.js';
import {type SendAllowance} from './send-allowance.js';
import {ServerWait} from './server-wait.js';

/** Where a request is sent. */
export type SendTarget = {
	readonly server: ServerRecord;
	/** The instance through which the server is reached; undefined for this instance's own links. */
	readonly relay?: Relay | undefined;
};

/** What is found: a target, nothing yet, or nothing for this request. */
export type FoundTarget
	= | {readonly type: 'target'; readonly target: SendTarget}
		| {readonly type: 'retry'}
		| {readonly type: 'none'; readonly failed: Failure};

/** Options of {@linkcode ServerSearch}. */
export type ServerSearchOptions = {
	readonly placement: Placement;
	/** The send limit of the request, which counts failed connections. */
	readonly allowance: SendAllowance;
	/** Records the problem of the last send. */
	readonly end: Pick<RequestEnd, 'lastProblem'>;
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
};

/** Options of {@linkcode ServerSearch.next}. */
export type NextTargetOptions = {
	readonly model: ModelId | undefined;
	/** The load of the request, in units of a short request. */
	readonly load: number | undefined;
	/** Whether a server process ended during the request. */
	readonly isSuspect: boolean;
	/** Whether the request may wait for a server. */
	readonly mayWait: boolean;
};

/**
Finds the servers for the sends of one request, and the ways to them: the links of the instance, or relays while these fail.

@example
```ts
const search = new ServerSearch(context, {placement, allowance, end, deadlineAt});
const found = await search.next({model, load, isSuspect: false, mayWait: true});
```
*/
export class ServerSearch {
	readonly #context: EntryContext;
	readonly #options: ServerSearchOptions;
	readonly #path: RequestPath<Relay>;
	readonly #wait: ServerWait;

	constructor(context: EntryContext, options: ServerSearchOptions) {
		const {service} = options.placement;
		this.#context = context;
		this.#options = options;
		this.#path = new RequestPath({links: context.links.of(service), relays: context.relays});
		this.#wait = new ServerWait(context, {...options, service});
	}

	/**
	Finds the target of the next send, or waits for a server.

	@param options What the server is chosen by.
	@returns What is found.
	*/
	async next({model, load, isSuspect, mayWait}: NextTargetOptions): Promise<FoundTarget> {
		const {placement, end} = this.#options;
		const server = placement.choose(model, {isSuspect, ...(load !== undefined && {load})});
		if (server !== undefined) {
			return this.#pathTo(server);
		}

		const failed = mayWait
			? await this.#wait.next(end.lastProblem)
			: failure('no-server', `No other server of ${placement.service} is available (${end.lastProblem})`);
		return failed === undefined ? {type: 'retry'} : {type: 'none', failed};
	}

	/**
	Checks whether the request could be sent to another server now.

	@param server The server of the current send.
	@returns Whether a retry and another server are left.
	*/
	canGoElsewhere(server: ServerRecord): boolean {
		const {allowance, placement} = this.#options;
		return allowance.canRetry && placement.hasAnother(server);
	}

	/**
	Checks whether this instance's own links are the likely reason why a target does not answer.

	@param target The target.
	@returns Whether they are.
	*/
	isLinkInDoubt({server, relay}: SendTarget): boolean {
		return relay === undefined && !this.#context.links.of(server.service).areConnected;
	}

	/**
	Records a failed connection, which does not count as a send. The only server of a service is tried again, through a relay.

	@param target The target.
	@returns The failure if no other server may be tried; otherwise undefined.
	*/
	recordUnreachable({server, relay}: SendTarget): Failure | undefined {
		const {allowance, placement, end} = this.#options;
		end.lastProblem = `${server.id} is unreachable`;
		const isTriedAgain = relay === undefined && allowance.connectionFailures === 0 && this.#context.relays.candidateCount > 0 && !placement.hasAnother(server);
		if (!isTriedAgain) {
			placement.exclude(server);
		}

		if (allowance.revokeSend()) {
			return undefined;
		}

		const message = `Could not connect to ${allowance.connectionFailures} servers of ${placement.service} (${this.#relayCounts})`;
		return failure('no-server', message, {retryAfterMilliseconds: retryMilliseconds});
	}

	/**
	Records that a relay opened no connection, which does not count as a send.

	@param target The target.
	*/
	recordRelayUnavailable({relay}: SendTarget): void {
		const {allowance, end} = this.#options;
		allowance.cancelSend();
		if (relay !== undefined) {
			end.lastProblem = `${relay.instance} opens no connection for others`;
			this.#path.exclude(relay);
		}
	}

	#pathTo(server: ServerRecord): FoundTarget {
		const {allowance: {connectionFailures}, placement, end} = this.#options;
		const path = this.#path.next(connectionFailures, {isOnlyServer: connectionFailures > 0 && !placement.hasAnother(server)});
		if (path.type === 'none') {
			const message = `This instance reaches no server of ${placement.service} (${end.lastProblem}; ${this.#relayCounts})`;
			return {type: 'none', failed: failure('no-server', message, {retryAfterMilliseconds: retryMilliseconds})};
		}

		return {type: 'target', target: {server, relay: path.type === 'relayed' ? path.relay : undefined}};
	}

	get #relayCounts(): string {
		return `${this.#path.failedRelays} of ${this.#context.relays.candidateCount} relays refused`;
	}
}
