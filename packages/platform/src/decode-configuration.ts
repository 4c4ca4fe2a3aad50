import {
	type Failure, failure, type ModelId, type ServiceId, toId, type WorkspaceId,
} from '@valehitch/core';
import {
	checkRoutingConfiguration, type Route, type RouteId, type RoutingConfiguration,
} from '@valehitch/gateway';
import {parseJsonBody} from '@valehitch/transport';
import {type Either, Left} from 'purify-ts';
import * as z from 'zod';

const millisecondsPerSecond = 1000;
const kinds = {safe: 'safe', unsafe: 'unsafe', streaming: 'streaming'} as const;

const routeSchema = z.object({
	name: z.string(),
	host: z.string(),
	pathPrefix: z.string(),
	kind: z.enum(kinds),
	timeoutMs: z.number().positive('Wanted a timeout above 0'),
	targetLatencyMs: z.number().positive().optional(),
	targetGapMs: z.number().positive().optional(),
	priority: z.number().default(0),
	sizes: z.array(z.string()).default([]),
	// A route has either one service or several weighted ones.
	service: z.string().optional(),
	trafficSplit: z.array(z.object({service: z.string(), weight: z.number().nonnegative()})).optional(),
	maxAttempts: z.int().positive().default(1),
	public: z.boolean().default(false),
	// The platform's name for routes whose requests share prompts. Such requests should preferably reach the same server again.
	sticky: z.boolean().default(false),
	resumable: z.boolean().default(false),
});

const requestPathPattern = /^\/[\u0021-\u007E]*$/v;

const serviceSchema = z.object({
	name: z.string(),
	// A stored configuration must stay readable, so a value that no request can have counts as none.
	healthPath: z.unknown().optional().transform(value => typeof value === 'string' && requestPathPattern.test(value) ? value : undefined),
	maxConns: z.number().positive().default(100),
	coldStartS: z.number().nonnegative().default(0),
	// 0 where the servers of the service tolerate as many requests as otherwise.
	coldPerS: z.number().nonnegative().default(0),
	// The platform's name for the models that a service of model engines offers.
	engine: z.object({models: z.array(z.object({name: z.string(), cost: z.number()})).default([])}).optional(),
});

const configurationSchema = z.object({
	version: z.int(),
	routes: z.array(routeSchema),
	services: z.array(serviceSchema),
	limits: z.object({
		maxHeaderBytes: z.number().positive().default(16_384),
		maxBodyBytes: z.number().positive().default(4_194_304),
		headerTimeoutMs: z.number().positive().default(3000),
		idleTimeoutMs: z.number().positive().default(15_000),
	}).prefault({}),
	// The platform's name for workspaces.
	tenants: z.array(z.object({name: z.string(), apiKeys: z.array(z.string()).default([]), priority: z.number().optional()})).optional(),
});

type WireRoute = z.output<typeof routeSchema>;

/**
Decodes a configuration document of the operator.

@param document The JSON text.
@returns The configuration, or `malformed-request` or `invalid-configuration` with the first problem and its location.
@example
```ts
decodeConfiguration('{"version":7,"routes":[],"services":[]}');
```
*/
export function decodeConfiguration(document: string): Either<Failure, RoutingConfiguration> {
	return parseJsonBody({bytes: new TextEncoder().encode(document), schema: configurationSchema}, {schemaMismatchKind: 'invalid-configuration'})
		.chain(values => toConfiguration(values));
}

function toConfiguration({version, routes, services, limits, tenants}: z.output<typeof configurationSchema>): Either<Failure, RoutingConfiguration> {
	const withoutService = routes.find(route => route.service === undefined && route.trafficSplit === undefined);
	if (withoutService !== undefined) {
		return Left(failure('invalid-configuration', `Route ${withoutService.name} has neither a service nor a traffic split`));
	}

	return checkRoutingConfiguration({
		version,
		routes: routes.map(route => toRoute(route)),
		services: services.map(({name, healthPath, maxConns, coldStartS, coldPerS, engine}) => ({
			id: toId<ServiceId>(name),
			healthPath,
			maximumConnections: maxConns,
			models: (engine?.models ?? []).map(({name: model, cost}) => ({id: toId<ModelId>(model), cost})),
			cold: coldPerS === 0 ? undefined : {requestsPerSecond: coldPerS, duration: coldStartS * millisecondsPerSecond},
		})),
		limits: {
			headerBytes: limits.maxHeaderBytes, bodyBytes: limits.maxBodyBytes, headerTimeout: limits.headerTimeoutMs, idleTimeout: limits.idleTimeoutMs,
		},
		workspaces: tenants?.map(({name, apiKeys, priority}) => ({id: toId<WorkspaceId>(name), keys: apiKeys, priority})),
	});
}

function toRoute(route: WireRoute): Route {
	const split = route.trafficSplit ?? [{service: route.service ?? '', weight: 1}];
	return {
		id: toId<RouteId>(route.name),
		host: route.host,
		pathPrefix: route.pathPrefix,
		kind: route.kind,
		timeout: route.timeoutMs,
		targetLatency: route.targetLatencyMs ?? route.timeoutMs,
		targetGap: route.targetGapMs,
		priority: route.priority,
		sizes: route.sizes.map(size => toId<ModelId>(size)),
		services: split.map(({service, weight}) => ({service: toId<ServiceId>(service), weight})),
		maximumAttempts: route.maxAttempts,
		isPublic: route.public,
		isResumable: route.resumable,
		usesPromptCache: route.sticky,
	};
}
