import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock, failure, type Failure} from '@valehitch/core';
import {type DecisionNote} from '@valehitch/routing';
import {sendProblem} from '@valehitch/transport';
import {Either, Left, Right} from 'purify-ts';
import {type Registry} from 'prom-client';
import {type ServerBelief} from './describe-server.js';
import {CodeLocator} from './code-locator.js';
import {formatProfile} from './format-profile.js';
import {ProfileRecorder} from './profile-recorder.js';
import {sumProfile} from './sum-profile.js';

/** What an entry instance tells of its routing. */
export type EntryInspection = {
	/** Returns what it believes of each backend server. */
	readonly beliefs: () => readonly ServerBelief[];
	/** Returns why a request went where it went; undefined if nothing is kept of it. */
	readonly decisionsOf: (request: string) => readonly DecisionNote[] | undefined;
};

/** Options of {@linkcode InspectionHandler}. */
export type InspectionHandlerOptions = {
	readonly registry: Pick<Registry, 'metrics' | 'contentType'>;
	/** Waits for a number of milliseconds. */
	readonly wait: (milliseconds: number) => Promise<void>;
	/** Returns the routing of the entry instance; undefined if this process is none or not yet. */
	readonly entry: () => EntryInspection | undefined;
	readonly clock: Pick<Clock, 'monotonic'>;
};

const decisionsPath = '/decisions/';
const millisecondsPerSecond = 1000;
const defaultProfileSeconds = 5;
const maximumProfileSeconds = 30;
/** The base of the paths of requests; only the path and the query are used. */
const baseUrl = 'http://localhost';

/**
Answers what operators ask about a running process: a profile of its processor time at `/profile`, what it believes of backend servers at `/servers`, why a request went where it went at `/decisions/ID`, and its metrics at any other path.

@example
```ts
const handler = new InspectionHandler({registry, wait, entry, clock});
createServer((request, response) => void handler.handle(request, response));
```
*/
export class InspectionHandler {
	readonly #options: InspectionHandlerOptions;
	readonly #recorder = new ProfileRecorder();

	constructor(options: InspectionHandlerOptions) {
		this.#options = options;
	}

	/**
	Answers a request.

	@param request The request.
	@param response The response.
	*/
	async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		request.resume();
		const {pathname, searchParams} = new URL(request.url ?? '/', baseUrl);
		if (pathname === '/profile') {
			await this.#sendProfile(searchParams, response);
			return;
		}

		if (pathname === '/servers' || pathname.startsWith(decisionsPath)) {
			this.#sendRouting(pathname, response);
			return;
		}

		const {registry} = this.#options;
		const text = await registry.metrics();
		send(response, {type: registry.contentType, text});
	}

	#sendRouting(pathname: string, response: ServerResponse): void {
		const {clock, entry} = this.#options;
		const inspected = entry();
		if (inspected === undefined) {
			sendProblem(response, failure('not-found', 'This instance routes no requests; ask an entry instance'));
			return;
		}

		if (pathname === '/servers') {
			send(response, {type: 'application/json', text: JSON.stringify({servers: inspected.beliefs()})});
			return;
		}

		const request = pathname.slice(decisionsPath.length);
		const notes = Either.encase(() => decodeURIComponent(request)).toMaybe().chainNullable(id => inspected.decisionsOf(id));
		notes.caseOf({
			Nothing() {
				sendProblem(response, failure('not-found', `Nothing is kept of request ${request}; instances keep the latest requests that were refused or held, and a sampled share of the others`));
			},
			Just(decisions) {
				const now = clock.monotonic();
				const listed = decisions.map(({at, ...decision}) => ({...decision, millisecondsAgo: Math.round(now - at)}));
				send(response, {type: 'application/json', text: JSON.stringify({request, decisions: listed})});
			},
		});
	}

	async #sendProfile(query: URLSearchParams, response: ServerResponse): Promise<void> {
		const checked = parseSeconds(query).chain(seconds => parseFormat(query).map(format => ({seconds, format})));
		if (checked.isLeft()) {
			sendProblem(response, checked.extract());
			return;
		}

		const {seconds, format} = checked.unsafeCoerce();
		const recorded = await this.#recorder.record(async () => this.#options.wait(seconds * millisecondsPerSecond));
		recorded.caseOf({
			Left(failed) {
				sendProblem(response, failed);
			},
			Right(profile) {
				const locator = new CodeLocator();
				const summary = sumProfile(profile, {locate: frame => locator.locate(frame)});
				send(response, format === 'json' ? {type: 'application/json', text: JSON.stringify(summary)} : {type: 'text/plain; charset=utf-8', text: formatProfile(summary)});
			},
		});
	}
}

function parseSeconds(query: URLSearchParams): Either<Failure, number> {
	const text = query.get('seconds') ?? String(defaultProfileSeconds);
	const seconds = /^\d+$/v.test(text) ? Number(text) : Number.NaN;
	return seconds >= 1 && seconds <= maximumProfileSeconds
		? Right(seconds)
		: Left(failure('malformed-request', `Got seconds=${text}, wanted a whole number from 1 to ${maximumProfileSeconds}`));
}

function parseFormat(query: URLSearchParams): Either<Failure, 'json' | 'text'> {
	const format = query.get('format') ?? 'text';
	return format === 'json' || format === 'text'
		? Right(format)
		: Left(failure('malformed-request', `Got format=${format}, wanted text or json`));
}

function send(response: ServerResponse, {type, text}: {readonly type: string; readonly text: string}): void {
	response.writeHead(200, {'Content-Type': type});
	response.end(text);
}
