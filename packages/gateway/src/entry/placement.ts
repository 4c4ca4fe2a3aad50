import {
	type ModelId, type ServerId, type ServiceId, type VersionId,
} from '@valehitch/core';
import {chooseHomeScope, type HomeScope} from '@valehitch/routing';
import {type Route} from '../configuration/routing-configuration.js';
import {chooseSide, type RolloutSide} from '../rollouts/choose-side.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryContext} from './entry-context.js';
import {type PromptSubject} from './find-server-options.js';
import {type GatewayRequest, type PromptPart} from './gateway-request.js';

/** Which request is placed. */
export type PlacementOptions = {
	readonly request: GatewayRequest;
	readonly route: Route;
	/** The bytes of its body. */
	readonly bytes: number;
};

/** What the choice of servers works with. */
export type PlacementContext = Pick<EntryContext, 'servers' | 'pins' | 'repeats' | 'clock' | 'random' | 'bounds' | 'rolloutOf'>;

type VersionWish = (version: VersionId) => boolean;

/**
Chooses the servers for the sends of one request: by the roll-out of the service, the version of the session and of a stream that began, and the prompt's place in a cache.

@example
```ts
const placement = new Placement(context, {request, route, bytes: body.byteLength});
const server = placement.choose(model);
```
*/
export class Placement {
	/** The service of the route that was drawn for the request. */
	readonly service: ServiceId;
	readonly #context: PlacementContext;
	readonly #request: GatewayRequest;
	readonly #route: Route;
	readonly #excluded = new Set<ServerId>();
	readonly #shared: readonly PromptPart[];
	readonly #homeScope: HomeScope;
	#begunVersion: VersionId | undefined;

	constructor(context: PlacementContext, {request, route, bytes}: PlacementOptions) {
		this.#context = context;
		this.#request = request;
		this.#route = route;
		this.service = drawService(route, context.random);
		this.#shared = route.usesPromptCache ? sharedParts(request.promptParts) : [];
		this.#homeScope = this.#chooseHomeScope(bytes);
	}

	/**
	Chooses a server.

	@param model The model that should answer; undefined where the caller named it or there is none.
	@param options `isSuspect`: whether a server ended under the request. It leaves the home of its prompt then, so that requests that were beside it there do not meet it again at the next server, and are told from it.
	@returns The server, or undefined where none takes the request.
	*/
	choose(model: ModelId | undefined, {isSuspect = false}: {readonly isSuspect?: boolean} = {}): ServerRecord | undefined {
		const {servers, pins, clock} = this.#context;
		const now = clock.monotonic();
		const {session} = this.#request;
		const subject = isSuspect ? undefined : this.#subject(model);
		for (const isWanted of this.#wishes(now)) {
			const server = servers.find({
				service: this.service, isWanted, excluded: this.#excluded, subject, now,
			});
			if (server !== undefined) {
				if (session !== undefined) {
					pins.note(session, server.version, now);
				}

				return server;
			}
		}

		return undefined;
	}

	/**
	Tells whether another server than one takes the request.

	@param server The server.
	@returns Whether there is one that was not tried.
	*/
	hasAnother(server: ServerRecord): boolean {
		const {servers, clock} = this.#context;
		const another = servers.find({
			service: this.service, isWanted: () => true, excluded: new Set([...this.#excluded, server.id]), subject: undefined, now: clock.monotonic(),
		});
		return another !== undefined;
	}

	/** Keeps the further sends from a server that was tried; where it has started again since, its next process was not. */
	exclude(server: ServerRecord): void {
		if (this.#context.servers.isCurrent(server)) {
			this.#excluded.add(server.id);
		}
	}

	/** Notes the version that began the stream; it goes on there while that version has servers. */
	begin(version: VersionId): void {
		this.#begunVersion = version;
	}

	#chooseHomeScope(bytes: number): HomeScope {
		const last = this.#shared.at(-1);
		if (last === undefined) {
			return 'none';
		}

		const {repeats, clock} = this.#context;
		const repeatsOnRoute = repeats.of(this.#route.id);
		repeatsOnRoute.note(last.id, clock.monotonic());
		const sharedTokens = this.#shared.reduce((sum, {tokens}) => sum + tokens, 0);
		return chooseHomeScope({sharedTokens, repeatShare: repeatsOnRoute.share, bytes});
	}

	/** What the prompt has in common with others on the model; each model has a cache of its own. */
	#subject(model: ModelId | undefined): PromptSubject | undefined {
		const last = this.#shared.at(-1);
		return last === undefined ? undefined : {name: `${last.id} ${model ?? ''}`, homeScope: this.#homeScope};
	}

	/** Which versions will do, the best first. */
	#wishes(now: number): readonly VersionWish[] {
		const target = this.#context.rolloutOf(this.service)?.target;
		const side = this.#side(now);
		const ofSide: VersionWish = version => side === 'any' || (side === 'target') === (version === target);
		const begun = this.#begunVersion;
		const wishes = begun === undefined ? [ofSide] : [(version: VersionId) => version === begun, ofSide];
		return side === 'target' ? [...wishes, () => true] : wishes;
	}

	#side(now: number): RolloutSide {
		const rollout = this.#context.rolloutOf(this.service);
		if (rollout === undefined) {
			return 'any';
		}

		const {session, id} = this.#request;
		return chooseSide(rollout, {
			subject: session ?? id,
			hasSession: session !== undefined,
			pinned: session === undefined ? undefined : this.#context.pins.of(session, now),
			canaryShare: this.#context.bounds.canaryShare,
		});
	}
}

/** The parts that other requests can share: the last one belongs to the request alone, unless there is no other. */
function sharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
	return parts.length > 1 ? parts.slice(0, -1) : parts;
}

/** Draws a service of a route by its weight. */
function drawService({services}: Route, random: () => number): ServiceId {
	const total = services.reduce((sum, {weight}) => sum + weight, 0);
	let left = random() * total;
	for (const {service, weight} of services) {
		left -= weight;
		if (left < 0) {
			return service;
		}
	}

	return services.at(-1)!.service;
}
