/** The headers of the platform, in lower case, by what they hold. */
export const wireHeader = {
	/** The id of one try of a caller; each retry has another. */
	requestId: 'attempt-id',
	/** Milliseconds that the caller still waits; a duration in spite of its name. */
	patience: 'deadline-ms',
	/** The id of the backend server that should answer, not of an instance of ours. */
	expectedServer: 'expect-instance',
	model: 'model',
	/** Prompt tokens and the most output tokens, before anything was used. */
	tokens: 'token-usage',
	promptParts: 'prompt-prefix',
	session: 'session',
	lastEventId: 'last-event-id',
	authorization: 'authorization',
	workspace: 'tenant',
	urgency: 'request-priority',
	/** The signature over the whole answer, whatever its status. */
	signature: 'response-signature',
	/** Says that the backend server did not run the request. */
	notRun: 'not-executed',
	/** The backend server that answers, where another one was expected. */
	answeringServer: 'instance-id',
	confidence: 'confidence',
	encoding: 'content-encoding',
} as const;

/** The headers that only the gateway may set, so that a caller's are dropped. */
export const reservedHeaders: ReadonlySet<string> = new Set([
	wireHeader.expectedServer,
	'expect-version',
	wireHeader.workspace,
	wireHeader.urgency,
	wireHeader.authorization,
	wireHeader.patience,
	wireHeader.lastEventId,
	wireHeader.model,
	'hold',
	'pin-ms',
	'kv-fetch',
	'kv-from',
	'kv-backup',
]);

/** The headers that concern one connection only (RFC 9110, section 7.6.1). */
export const connectionHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length', 'expect',
]);
