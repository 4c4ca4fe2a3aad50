/** The names of the platform's headers, in lower case. */
export const wireHeader = {
	/** The id of one attempt of a caller; each retry has a new one. */
	requestId: 'attempt-id',
	/** The caller's remaining timeout in milliseconds; a duration in spite of its name. */
	timeout: 'deadline-ms',
	/** The id of the backend server that should answer; not the id of an entry instance. */
	expectedServer: 'expect-instance',
	model: 'model',
	/** The number of prompt tokens and the maximum number of output tokens, as known before the request runs. */
	tokens: 'token-usage',
	/** The caller's estimate of the number of output tokens. */
	lengthHint: 'length-hint',
	promptParts: 'prompt-prefix',
	session: 'session',
	lastEventId: 'last-event-id',
	authorization: 'authorization',
	workspace: 'tenant',
	urgency: 'request-priority',
	/** The signature over the complete answer, regardless of its status. */
	signature: 'response-signature',
	/** Present if the backend server did not run the request. */
	notRun: 'not-executed',
	/** The id of the answering backend server, if another one was expected. */
	answeringServer: 'instance-id',
	confidence: 'confidence',
	/** Present with the value 1 if the backend server is shutting down. */
	leaving: 'server-leaving',
	/** How many seconds the backend server wants no requests from this instance; counts only if it rejected the request. */
	pause: 'retry-after',
	/** The requests per second that a backend server takes from all instances together, not from each. */
	rateLimit: 'server-limit',
	/** How many requests a backend server can reject in a second, from all instances together, before it falls over. */
	brittleness: 'server-brittle',
	encoding: 'content-encoding',
} as const;

/** The headers that only the gateway may set; the caller's values are removed. */
export const reservedHeaders: ReadonlySet<string> = new Set([
	wireHeader.expectedServer,
	'expect-version',
	wireHeader.workspace,
	wireHeader.urgency,
	wireHeader.authorization,
	wireHeader.timeout,
	wireHeader.lastEventId,
	wireHeader.model,
	'hold',
	'pin-ms',
	'kv-fetch',
	'kv-from',
	'kv-backup',
]);

/** The hop-by-hop headers (RFC 9110, section 7.6.1) and other headers that are not forwarded. */
export const connectionHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length', 'expect',
]);
