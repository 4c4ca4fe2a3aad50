import {
	type Brand, type ModelId, type ServiceId, type WorkspaceId,
} from '@valehitch/core';

/** Names a route; unique in a configuration. */
export type RouteId = Brand<string, 'RouteId'>;

/** Whether a request may be repeated: `safe` always, `unsafe` never, `streaming` only where the route says that a stream can be resumed. */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** A service that gets a part of a route's requests. */
export type WeightedService = {
	readonly service: ServiceId;
	/** The part, in proportion to the sum of the weights of the route. */
	readonly weight: number;
};

/** Where requests of one host and path prefix go. */
export type Route = {
	readonly id: RouteId;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** The longest time that a request is kept waiting, in milliseconds. */
	readonly timeout: number;
	/** The time within which an answer, or the first event of a stream, is on time, in milliseconds. */
	readonly targetLatency: number;
	/** The longest pause between two events with which a stream is on time, in milliseconds; undefined for plain answers. */
	readonly targetGap: number | undefined;
	/** The rank among all requests; 0 goes first. */
	readonly priority: number;
	/** The models that may answer, smallest first; empty where the caller names the model or there is none. */
	readonly sizes: readonly ModelId[];
	readonly services: readonly WeightedService[];
	/** The most backend servers to which one request may be sent. */
	readonly maximumAttempts: number;
	/** Whether a request needs no key. */
	readonly isPublic: boolean;
	/** Whether a broken stream may go on at another backend server. */
	readonly isResumable: boolean;
	/** Whether backend servers cache the beginnings of prompts. */
	readonly usesPromptCache: boolean;
};

/** A model that a service offers. */
export type OfferedModel = {
	readonly id: ModelId;
	/** The price of 1,000 generated tokens, in units of a request's worth. */
	readonly cost: number;
};

/** A service: backend servers that answer alike. */
export type BackendService = {
	readonly id: ServiceId;
	/** The connections that one backend server accepts from all instances together. */
	readonly maximumConnections: number;
	/** The models of a service of model engines; empty for a plain service. */
	readonly models: readonly OfferedModel[];
};

/** A workspace and the keys that belong to it. */
export type WorkspaceAccess = {
	readonly id: WorkspaceId;
	readonly keys: readonly string[];
	/** Goes before the priority of the route; undefined where the route decides. */
	readonly priority: number | undefined;
};

/** What callers may send. */
export type RequestLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** The time within which the headers must be complete, in milliseconds. */
	readonly headerTimeout: number;
	/** The time that a connection may stay idle, in milliseconds. */
	readonly idleTimeout: number;
};

/** A complete routing configuration; the highest version takes effect. */
export type RoutingConfiguration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly BackendService[];
	readonly limits: RequestLimits;
	/** The workspaces; undefined where no request needs a key. */
	readonly workspaces: readonly WorkspaceAccess[] | undefined;
};
