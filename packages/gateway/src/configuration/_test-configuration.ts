import {type ServiceId, toId, type WorkspaceId} from '@valehitch/core';
import {type Route, type RouteId, type RoutingConfiguration} from './routing-configuration.js';

/** Creates a route for plain requests. */
export function testRoute(changes: Partial<Route> = {}): Route {
	return {
		id: toId<RouteId>('labels'),
		host: 'desk.example',
		pathPrefix: '/labels/',
		kind: 'safe',
		timeout: 800,
		targetLatency: 150,
		targetGap: undefined,
		priority: 2,
		sizes: [],
		services: [{service: toId<ServiceId>('labels'), weight: 1}],
		maximumAttempts: 2,
		isPublic: false,
		isResumable: false,
		usesPromptCache: false,
		...changes,
	};
}

/** Creates a small valid configuration. */
export function testConfiguration(changes: Partial<RoutingConfiguration> = {}): RoutingConfiguration {
	return {
		version: 1,
		routes: [testRoute()],
		services: [{id: toId<ServiceId>('labels'), maximumConnections: 100, models: []}],
		limits: {
			headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeout: 3000, idleTimeout: 15_000,
		},
		workspaces: [{id: toId<WorkspaceId>('mills'), keys: ['k1', 'k2'], priority: 1}],
		...changes,
	};
}
