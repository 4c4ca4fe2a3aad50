import {healthPath} from './fake-backend-server.js';

/** Options of {@linkcode routeKindsConfiguration}. */
export type RouteKindsOptions = {
	/** The time limit of the plain routes, in milliseconds; that of streams is 8 s. */
	readonly timeoutMs: number;
	/** The target latency, and the longest pause of streams, in milliseconds. */
	readonly targetMs: number;
};

/** The host of all routes. */
export const routeKindsHost = 'desk.example';

/**
Returns a configuration with a public route of each kind: `/drafts/` and `/once/` are streams that may be resumed or not, `/look/` and `/print/` plain requests that may be repeated or not.

@param options The time limits.
@returns The document of version 1.
@example
```ts
await putConfiguration(deployment, routeKindsConfiguration({timeoutMs: 4000, targetMs: 1000}));
```
*/
export function routeKindsConfiguration({timeoutMs, targetMs}: RouteKindsOptions) {
	const route = {
		host: routeKindsHost, timeoutMs, targetLatencyMs: targetMs, maxAttempts: 3, public: true,
	};
	const stream = {
		...route, kind: 'streaming', timeoutMs: 8000, targetGapMs: targetMs, service: 'models', sizes: ['large'], sticky: true,
	};
	return {
		version: 1,
		routes: [
			{
				...stream, name: 'drafts', pathPrefix: '/drafts/', resumable: true,
			},
			{
				...stream, name: 'once', pathPrefix: '/once/',
			},
			{
				...route, name: 'print', pathPrefix: '/print/', kind: 'unsafe', service: 'labels',
			},
			{
				...route, name: 'look', pathPrefix: '/look/', kind: 'safe', service: 'labels',
			},
		],
		services: [{name: 'models', healthPath, engine: {models: [{name: 'large', cost: 0.3}]}}, {name: 'labels', healthPath}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [],
	};
}
