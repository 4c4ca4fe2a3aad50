import {
	type ModelId, type ServerId, type ServiceId, type VersionId,
} from '@valehitch/core';
import {type Route} from '../configuration/routing-configuration.js';
import {chooseSide, type RolloutSide} from '../rollouts/choose-side.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest} from './gateway-request.js';

type VersionWish = (version: VersionId) => boolean;

/**
Chooses the servers for the sends of one request: by the roll-out of the service, the version of the session and of a stream that began, and the prompt's place in a cache.

@example
```ts
const placement = new Placement(context, {request, route});
const server = placement.choose(model);
```
*/
export class Placement {
	/** The service of the route that was drawn for the request. */
	readonly service: ServiceId;
	readonly #context: EntryContext;
	readonly #request: GatewayRequest;
	readonly #route: Route;
	readonly #excluded = new Set<ServerId>();
	#begunVersion: VersionId | undefined;

	constructor(context: EntryContext, {request, route}: {readonly request: GatewayRequest; readonly route: Route}) {
		this.#context = context;
		this.#request = request;
		this.#route = route;
		this.service = drawService(route, context.random);
	}

	/**
	Chooses a server.

	@param model The model that should answer; undefined where the caller named it or there is none.
	@returns The server, or undefined where none takes the request.
	*/
	choose(model: ModelId | undefined): ServerRecord | undefined {
		const {servers, pins, clock} = this.#context;
		const now = clock.monotonic();
		const {session, promptParts} = this.#request;
		const shared = this.#route.usesPromptCache ? sharedPart(promptParts) : undefined;
		const subject = shared === undefined ? undefined : `${shared} ${model ?? ''}`;
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

	/** Keeps the further sends from a server. */
	exclude(server: ServerId): void {
		this.#excluded.add(server);
	}

	/** Notes the version that began the stream; it goes on there while that version has servers. */
	begin(version: VersionId): void {
		this.#begunVersion = version;
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

/** The longest beginning that other requests can share: the last part belongs to the request alone, unless there is no other. */
function sharedPart(parts: readonly string[]): string | undefined {
	return parts.at(-2) ?? parts.at(-1);
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
