import {
	type ModelId, type ServerId, type ServiceId, type VersionId,
} from '@valehitch/core';
import {chooseAffinityScope, type AffinityScope} from '@valehitch/routing';
import {type Route} from '../configuration/routing-configuration.js';
import {assignCohort, type RolloutCohort} from '../rollouts/assign-cohort.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryContext} from './entry-context.js';
import {type PromptKey} from './find-server-options.js';
import {type GatewayRequest, type PromptPart} from './gateway-request.js';

/** Options of {@linkcode Placement}. */
export type PlacementOptions = {
	readonly request: GatewayRequest;
	readonly route: Route;
	/** The size of the request body, in bytes. */
	readonly bytes: number;
};

/** The part of the context that a placement uses. */
export type PlacementContext = Pick<EntryContext, 'servers' | 'pins' | 'repeats' | 'clock' | 'random' | 'bounds' | 'rolloutOf'>;

type VersionPredicate = (version: VersionId) => boolean;

/**
Chooses the servers for the sends of one request, based on the rollout of the service, the version of the session or of a stream in progress, and the prompt cache.

@example
```ts
const placement = new Placement(context, {request, route, bytes: body.byteLength});
const server = placement.choose(model);
```
*/
export class Placement {
	/** The service chosen for the request by the traffic split of the route. */
	readonly service: ServiceId;
	readonly #context: PlacementContext;
	readonly #request: GatewayRequest;
	readonly #route: Route;
	readonly #excluded = new Set<ServerId>();
	readonly #shared: readonly PromptPart[];
	readonly #affinityScope: AffinityScope;
	#startedVersion: VersionId | undefined;

	constructor(context: PlacementContext, {request, route, bytes}: PlacementOptions) {
		this.#context = context;
		this.#request = request;
		this.#route = route;
		this.service = chooseService(route, context.random);
		this.#shared = route.usesPromptCache ? sharedParts(request.promptParts) : [];
		this.#affinityScope = this.#chooseAffinityScope(bytes);
	}

	/**
	Chooses a server.

	@param model The model; undefined if the caller chose it or the request needs none.
	@param options `load`: the load of the request, in units of a short request. `isSuspect`: whether a server process ended during the request. A suspect request does not use the home server of its prompt. If it did, the requests that were in flight on the same server would again share a server with it, and the cause of a second crash could not be told apart from them.
	@returns The server, or undefined if none is available.
	*/
	choose(model: ModelId | undefined, {isSuspect = false, load}: {readonly isSuspect?: boolean; readonly load?: number} = {}): ServerRecord | undefined {
		const {servers, pins, clock} = this.#context;
		const now = clock.monotonic();
		const {session} = this.#request;
		const promptKey = isSuspect ? undefined : this.#promptKey(model);
		const preferences = this.#versionPreferences(now);
		for (const isAcceptable of preferences) {
			const noted = {id: this.#request.id, model, hasFurtherCriteria: isAcceptable !== preferences.at(-1)};
			const server = servers.choose({
				service: this.service, isAcceptable, excluded: this.#excluded, promptKey, now, noted, ...(load !== undefined && {load}),
			});
			if (server !== undefined) {
				if (session !== undefined) {
					pins.pin(session, server.version, now);
				}

				return server;
			}
		}

		return undefined;
	}

	/**
	Checks whether a server other than the given one is available for the request.

	@param server The server.
	@returns Whether there is one that has not been tried, of a version that the request may use.
	*/
	hasAnother(server: ServerRecord): boolean {
		const {servers, clock} = this.#context;
		const now = clock.monotonic();
		const excluded = new Set([...this.#excluded, server.id]);
		return this.#versionPreferences(now).some(isAcceptable => servers.choose({
			service: this.service, isAcceptable, excluded, promptKey: undefined, now,
		}) !== undefined);
	}

	/** Excludes a server from further sends, unless it has restarted in the meantime, since its new process has not been tried. */
	exclude(server: ServerRecord): void {
		if (this.#context.servers.isCurrent(server)) {
			this.#excluded.add(server.id);
		}
	}

	/** Records the version that started the stream; it resumes on that version as long as it has servers. */
	recordStreamStart(version: VersionId): void {
		this.#startedVersion = version;
	}

	#chooseAffinityScope(bytes: number): AffinityScope {
		const lastShared = this.#shared.at(-1);
		if (lastShared === undefined) {
			return 'none';
		}

		const {repeats, clock} = this.#context;
		const repeatsOnRoute = repeats.forRoute(this.#route.id);
		repeatsOnRoute.record(lastShared.id, clock.monotonic());
		const sharedTokens = this.#shared.reduce((sum, {tokens}) => sum + tokens, 0);
		return chooseAffinityScope({sharedTokens, repeatRate: repeatsOnRoute.value, bytes});
	}

	/** Returns the cache key of the prompt. It includes the model, since each model has its own cache. */
	#promptKey(model: ModelId | undefined): PromptKey | undefined {
		const lastShared = this.#shared.at(-1);
		return lastShared === undefined ? undefined : {name: `${lastShared.id} ${model ?? ''}`, affinityScope: this.#affinityScope};
	}

	/** Returns predicates for the acceptable versions, in order of preference. */
	#versionPreferences(now: number): readonly VersionPredicate[] {
		const target = this.#context.rolloutOf(this.service)?.target;
		const cohort = this.#cohort(now);
		const matchesCohort: VersionPredicate = version => cohort === 'any' || (cohort === 'target') === (version === target);
		const startedVersion = this.#startedVersion;
		const preferences = startedVersion === undefined ? [matchesCohort] : [(version: VersionId) => version === startedVersion, matchesCohort];
		return cohort === 'target' ? [...preferences, () => true] : preferences;
	}

	#cohort(now: number): RolloutCohort {
		const rollout = this.#context.rolloutOf(this.service);
		if (rollout === undefined) {
			return 'any';
		}

		const {session, id} = this.#request;
		return assignCohort(rollout, {
			hashKey: session ?? id,
			hasSession: session !== undefined,
			pinnedVersion: session === undefined ? undefined : this.#context.pins.versionOf(session, now),
			canaryShare: this.#context.bounds.canaryShare,
		});
	}
}

/** Returns the parts that other requests can share: all but the last one, or the only one. */
function sharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
	return parts.length > 1 ? parts.slice(0, -1) : parts;
}

/** Chooses a service of a route at random by weight. */
function chooseService({services}: Route, random: () => number): ServiceId {
	const total = services.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random() * total;
	for (const {service, weight} of services) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return services.at(-1)!.service;
}
