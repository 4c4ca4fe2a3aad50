import * as z from 'zod';

/** The behaviour of a fake backend server; every member may be changed while it runs. */
export type Behaviour = {
	/** Milliseconds before the first token, or before an unstreamed response. */
	firstTokenMilliseconds: number;
	/** Milliseconds before each further token. */
	tokenMilliseconds: number;
	/** The HTTP status of a failure reported after the request was executed; undefined for none. */
	failStatus: number | undefined;
	/** Whether requests are refused with the outcome `notRun`. */
	refuseNotRun: boolean;
	/** The number of tokens after which the connection is closed; undefined for never. A service closes it instead of responding. */
	cutAfterTokens: number | undefined;
	/** Whether requests are accepted and never get a response. */
	stall: boolean;
	/** Whether the connection is closed on its second request, as if its idle timeout had expired. */
	closesKeptConnections: boolean;
	/** Tokens in a response, unless `max_tokens` asks for fewer. */
	answerTokens: number;
	/** Number of concurrent requests that an engine serves at full speed; beyond it, the delays of a new request grow in proportion. Undefined for no limit. */
	fullSpeedRequests: number | undefined;
};

/** The default behaviour: no failures and no delays. */
export const defaultBehaviour: Readonly<Behaviour> = {
	firstTokenMilliseconds: 0,
	tokenMilliseconds: 0,
	failStatus: undefined,
	refuseNotRun: false,
	cutAfterTokens: undefined,
	stall: false,
	closesKeptConnections: false,
	answerTokens: 16,
	fullSpeedRequests: undefined,
};

/** The body schema of `POST /test/behaviour`; omitted members are reset to their defaults. */
export const behaviourSchema = z.strictObject({
	firstTokenMilliseconds: z.number().min(0),
	tokenMilliseconds: z.number().min(0),
	failStatus: z.int().min(400).max(599).optional(),
	refuseNotRun: z.boolean(),
	cutAfterTokens: z.int().min(0).optional(),
	stall: z.boolean(),
	closesKeptConnections: z.boolean(),
	answerTokens: z.int().min(0),
	fullSpeedRequests: z.int().min(1).optional(),
}).partial();
