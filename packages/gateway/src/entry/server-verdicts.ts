import {type ModelId} from '@valehitch/core';
import {type RouteId} from '../configuration/routing-configuration.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryContext} from './entry-context.js';
import {type SendResult} from './entry-servers-options.js';
import {type LossFinding} from './entry-suspects.js';

/** Which request the verdicts come from. */
export type ServerVerdictsOptions = {
	readonly request: string;
	readonly route: RouteId;
};

/**
Passes on how the sends of one request ended: to the choice of servers, and to the judgement of versions.

@example
```ts
const verdicts = new ServerVerdicts(context, {request: 'a1', route});
verdicts.failed(server, model);
```
*/
export class ServerVerdicts {
	readonly #context: EntryContext;
	readonly #options: ServerVerdictsOptions;

	constructor(context: EntryContext, options: ServerVerdictsOptions) {
		this.#context = context;
		this.#options = options;
	}

	/**
	Notes a good answer.

	@param server The server.
	@param options The model, and the time to the first byte in milliseconds.
	*/
	answered(server: ServerRecord, {model, latency}: {readonly model: ModelId | undefined; readonly latency: number}): void {
		this.record(server, 'answered');
		this.#note(server, {model, latency});
	}

	/**
	Notes a failure that is the server's.

	@param server The server.
	@param model The model.
	*/
	failed(server: ServerRecord, model: ModelId | undefined): void {
		this.record(server, 'failed');
		this.#note(server, {model, latency: undefined});
	}

	/**
	Notes that a connection broke while the server had the request.

	The end of a process fails all its requests at once, 3 to 18 of them in a deployment of 18 engines; as evidence against the version it counts once, so that one request that ends servers does not roll back a good version.

	@param server The server.
	@param options The model, and what became of the server.
	*/
	lost(server: ServerRecord, {model, finding}: {readonly model: ModelId | undefined; readonly finding: LossFinding}): void {
		if (finding === 'runs') {
			this.failed(server, model);
			return;
		}

		this.record(server, 'ended');
		if (finding === 'ended') {
			this.#note(server, {model, latency: undefined});
		}
	}

	/**
	Notes a result that says nothing of the version.

	@param server The server.
	@param result The result.
	*/
	record(server: ServerRecord, result: SendResult): void {
		const {servers, log, clock} = this.#context;
		if (servers.isCurrent(server) && servers.record(server.id, result, clock.monotonic())) {
			log('server-suspected', {
				server: server.id, service: server.service, result, request: this.#options.request,
			}, 'warn');
		}
	}

	#note({service, version}: ServerRecord, {model, latency}: {readonly model: ModelId | undefined; readonly latency: number | undefined}): void {
		this.#context.evidence.note({
			service, version, route: this.#options.route, model, isFailure: latency === undefined, latency,
		});
	}
}
