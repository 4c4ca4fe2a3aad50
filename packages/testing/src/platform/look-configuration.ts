/** A public route for plain requests, `/look/` of `desk.example`, to the service `labels`. */
export const lookRoute = {
	name: 'look', host: 'desk.example', pathPrefix: '/look/', kind: 'safe', timeoutMs: 2000, targetLatencyMs: 500, service: 'labels', maxAttempts: 2, public: true,
};

/** A configuration with {@linkcode lookRoute} and a workspace with the key `k1`. */
export const lookConfiguration = {
	version: 1,
	routes: [lookRoute],
	services: [{name: 'labels'}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
	tenants: [{name: 'mills', apiKeys: ['k1'], priority: 1}],
};
