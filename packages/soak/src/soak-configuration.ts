import {type RequestKind} from './soak-record.js';

/** The Host header that callers send. */
export const callerHost = 'desk.example';

const paths: Readonly<Record<RequestKind, string>> = {safe: '/look/', unsafe: '/print/', streaming: '/drafts/'};

/**
Returns the path of a kind of request.

@param kind The kind of request.
@returns A path under the prefix of its route.
@example
```ts
requestPath('safe');
```
*/
export function requestPath(kind: RequestKind): string {
	return `${paths[kind]}7`;
}

/**
Creates the configuration that the operator of a soak submits.

@param version The version of the configuration.
@param keys The keys of the only workspace.
@returns The configuration.
@example
```ts
soakConfiguration(1, ['key-1']);
```
*/
export function soakConfiguration(version: number, keys: readonly string[]) {
	const route = {
		host: callerHost, timeoutMs: 3000, targetLatencyMs: 1000, service: 'labels', public: false,
	};
	return {
		version,
		routes: [
			{
				...route,
				name: 'drafts',
				pathPrefix: paths.streaming,
				kind: 'streaming',
				targetGapMs: 1000,
				sizes: ['small', 'large'], service: 'models', maxAttempts: 3, sticky: true, resumable: true,
			},
			{
				...route, name: 'print', pathPrefix: paths.unsafe, kind: 'unsafe', maxAttempts: 2,
			},
			{
				...route, name: 'look', pathPrefix: paths.safe, kind: 'safe', maxAttempts: 2,
			},
		],
		services: [{name: 'models', engine: {models: [{name: 'small', cost: 0.01}, {name: 'large', cost: 0.3}]}}, {name: 'labels'}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: 'mills', apiKeys: keys, priority: 1}],
	};
}
