import {
	type Brand, type ModelId, type ServiceId, type WorkspaceId,
} from '@valehitch/core';

/** Identifies a route; unique within a configuration. */
export type RouteId = Brand<string, 'RouteId'>;

/** Whether a request may be retried: `safe` always, `unsafe` never, `streaming` only if the streams of the route are resumable. */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** A service that receives a share of the requests of a route. */
export type WeightedService = {
	readonly service: ServiceId;
	/** The share of requests, relative to the sum of the weights of the route. */
	readonly weight: number;
};

/** Determines where requests with a host and path prefix are sent. */
export type Route = {
	readonly id: RouteId;
	readonly host: string;
	/** Starts and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** The longest time that a request may wait, in milliseconds. */
	readonly timeout: number;
	/** The target time to an answer, or to the first event of a stream, in milliseconds. */
	readonly targetLatency: number;
	/** The target maximum time between two events of a stream, in milliseconds, or `undefined` for plain answers. */
	readonly targetGap: number | undefined;
	/** The priority among all requests; 0 is the highest. */
	readonly priority: number;
	/** The models that may answer, smallest first; empty if the caller names the model or the service has no models. */
	readonly sizes: readonly ModelId[];
	readonly services: readonly WeightedService[];
	/** The maximum number of backend servers to which a request may be sent. */
	readonly maximumAttempts: number;
	/** Whether requests require no key. */
	readonly isPublic: boolean;
	/** Whether an interrupted stream may be resumed on another backend server. */
	readonly isResumable: boolean;
	/** Whether backend servers cache prompt prefixes. */
	readonly usesPromptCache: boolean;
};

/** A model that a service offers. */
export type OfferedModel = {
	readonly id: ModelId;
	/** The price of 1,000 generated tokens, in the unit in which the value of a request is measured. */
	readonly cost: number;
};

/** A service, which is a group of interchangeable backend servers. */
export type BackendService = {
	readonly id: ServiceId;
	/** The path of the health check of its servers; undefined if there is none. */
	readonly healthPath?: string | undefined;
	/** The number of connections that a backend server accepts from all instances together. */
	readonly maximumConnections: number;
	/** The models that the service offers; empty for a service without models. */
	readonly models: readonly OfferedModel[];
	/** What its servers tolerate while they are cold, or `undefined` if as much as otherwise. */
	readonly cold?: ColdService | undefined;
};

/** What a backend server tolerates while it is cold. */
export type ColdService = {
	/** The requests per second beyond which it may end. */
	readonly requestsPerSecond: number;
	/** How long it is cold after its start, in milliseconds. */
	readonly duration: number;
};

/** A workspace and its keys. */
export type WorkspaceAccess = {
	readonly id: WorkspaceId;
	readonly keys: readonly string[];
	/** Overrides the priority of the route; `undefined` keeps the priority of the route. */
	readonly priority: number | undefined;
};

/** Limits on the requests of callers. */
export type RequestLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** The time within which the headers must be received, in milliseconds. */
	readonly headerTimeout: number;
	/** The time for which a connection may be idle, in milliseconds. */
	readonly idleTimeout: number;
};

/** A complete routing configuration; the one with the highest version is in effect. */
export type RoutingConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly BackendService[];
	readonly limits: RequestLimits;
	/** The workspaces, or `undefined` if no request requires a key. */
	readonly workspaces: readonly WorkspaceAccess[] | undefined;
};
