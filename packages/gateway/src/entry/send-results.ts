import {type ModelId} from '@valehitch/core';
import {type RouteId} from '../configuration/routing-configuration.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryContext} from './entry-context.js';
import {type SendResult} from './entry-servers-options.js';
import {type LossFinding} from './entry-suspects.js';

/** Options of {@linkcode SendResults}. */
export type SendResultsOptions = {
	readonly request: string;
	readonly route: RouteId;
};

/** The time within which a working server sends data to someone, in milliseconds. */
const quietMilliseconds = 200;

/** The part of the context that the results use. */
export type SendResultsContext = Pick<EntryContext, 'servers' | 'log' | 'clock' | 'evidence' | 'metrics' | 'links'>;

/**
Records the results of the sends of one request, for the choice of servers and as evidence about versions.

@example
```ts
const results = new SendResults(context, {request: 'a1', route});
results.recordFailure(server, model);
```
*/
export class SendResults {
	readonly #context: SendResultsContext;
	readonly #options: SendResultsOptions;

	constructor(context: SendResultsContext, options: SendResultsOptions) {
		this.#context = context;
		this.#options = options;
	}

	/**
	Records a successful answer.

	@param server The server.
	@param options The model, and the time to first byte in milliseconds.
	*/
	recordSuccess(server: ServerRecord, {model, latency}: {readonly model: ModelId | undefined; readonly latency: number}): void {
		this.record(server, 'answered');
		this.#recordEvidence(server, {model, latency});
	}

	/**
	Records the time to the head of an answer, which says how fast its server and its version are.

	@param server The server.
	@param sample The model, and the observed and expected times in milliseconds; the expected one is undefined if it was not known at the send, and for answers that are not streamed.
	*/
	recordStart(server: ServerRecord, {model, observed, expected}: {readonly model: ModelId | undefined; readonly observed: number; readonly expected?: number | undefined}): void {
		const {servers, clock, evidence} = this.#context;
		const {service, version} = server;
		evidence.recordStart({
			service, version, route: this.#options.route, model,
		}, observed);
		if (expected !== undefined && servers.isCurrent(server)) {
			servers.recordFirstEvent(server.id, {observed, expected}, clock.monotonic());
		}
	}

	/**
	Records a failure that the server is responsible for.

	@param server The server.
	@param model The model.
	*/
	recordFailure(server: ServerRecord, model: ModelId | undefined): void {
		this.record(server, 'failed');
		this.#recordEvidence(server, {model, latency: undefined});
	}

	/**
	Records that a server has not sent what it owes. If it has sent nothing to anybody lately, it is silent and may go on, and counts as failed only for its version; one that sends to others has failed.

	@param server The server.
	@param model The model.
	*/
	recordStall(server: ServerRecord, model: ModelId | undefined): void {
		const {servers, clock} = this.#context;
		if (clock.monotonic() - servers.heardAt(server.id) < quietMilliseconds) {
			this.recordFailure(server, model);
			return;
		}

		this.record(server, 'silent');
		this.#recordEvidence(server, {model, latency: undefined});
	}

	/**
	Records that a connection broke while the server was processing the request.

	When a process ends, all its requests fail at once: 3 to 18 of them in a deployment of 18 engines. As evidence against the version they count only once, so that a single request that crashes servers does not roll back a good version.

	@param server The server.
	@param options The model and the state of the server.
	*/
	recordLoss(server: ServerRecord, {model, finding}: {readonly model: ModelId | undefined; readonly finding: LossFinding}): void {
		if (finding === 'running') {
			this.recordFailure(server, model);
			return;
		}

		if (finding === 'link-lost') {
			this.record(server, 'unreachable');
			this.#context.links.of(server.service).recordUnreachable(server.id);
			return;
		}

		this.record(server, 'ended');
		if (finding === 'ended') {
			this.#recordEvidence(server, {model, latency: undefined});
		}
	}

	/**
	Records why an answer was cut off that had more bytes than it may have. Its loss is recorded like any other.

	@param server The server.
	@param reason The reason.
	*/
	recordExcess(server: ServerRecord, reason: string): void {
		const {metrics, log} = this.#context;
		metrics.excessiveAnswers.inc();
		log('server-suspected', {
			server: server.id, service: server.service, result: 'excessive', reason, request: this.#options.request,
		}, 'warn');
	}

	/**
	Records a result that is not evidence about the version.

	@param server The server.
	@param result The result.
	*/
	record(server: ServerRecord, result: SendResult): void {
		const {servers, log, clock} = this.#context;
		if (servers.isCurrent(server) && servers.recordResult(server.id, result, clock.monotonic())) {
			log('server-suspected', {
				server: server.id, service: server.service, result, request: this.#options.request,
			}, 'warn');
		}
	}

	#recordEvidence({service, version}: ServerRecord, {model, latency}: {readonly model: ModelId | undefined; readonly latency: number | undefined}): void {
		this.#context.evidence.record({
			service, version, route: this.#options.route, model, isFailure: latency === undefined, latency,
		});
	}
}
