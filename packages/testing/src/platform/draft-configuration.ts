/** The host of the route of {@linkcode draftConfiguration}. */
export const draftHost = 'desk.example';

/** A configuration with one route, `/drafts/`, for streamed answers of a small or a large model, and two workspaces with the keys `k1` and `k2`. */
export const draftConfiguration = {
	version: 1,
	routes: [{
		name: 'drafts', host: draftHost, pathPrefix: '/drafts/', kind: 'streaming', timeoutMs: 8000, targetLatencyMs: 2000, targetGapMs: 1000,
		sizes: ['small', 'large'], service: 'models', maxAttempts: 3, sticky: true, resumable: true, public: false,
	}],
	services: [{name: 'models', engine: {models: [{name: 'small', cost: 0.01}, {name: 'large', cost: 0.3}]}}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [{name: 'mills', apiKeys: ['k1'], priority: 1}, {name: 'yards', apiKeys: ['k2'], priority: 1}],
};
