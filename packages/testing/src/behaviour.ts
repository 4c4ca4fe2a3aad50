import * as z from 'zod';

/** How a fake behaves; every member may be changed while it runs. */
export type Behaviour = {
	/** Milliseconds before the first token, or before a whole answer. */
	firstTokenMilliseconds: number;
	/** Milliseconds before each further token. */
	tokenMilliseconds: number;
	/** The status of a failure that is reported after the work ran; undefined for none. */
	failStatus: number | undefined;
	/** Whether requests are refused with the outcome `notRun`. */
	refuseNotRun: boolean;
	/** After how many tokens the connection is cut; undefined for never. A service cuts instead of answering. */
	cutAfterTokens: number | undefined;
	/** Whether requests are accepted and never answered. */
	stall: boolean;
	/** Whether a request on a connection that has carried one before finds it closed, as where it idled for too long. */
	closesKeptConnections: boolean;
	/** Tokens in an answer, where `max_tokens` does not ask for fewer. */
	answerTokens: number;
	/** Requests that an engine works on at full speed; with more, all delays of a new one grow in proportion. Undefined for no bound. */
	fullSpeedRequests: number | undefined;
};

/** The behaviour of a fake that nobody has changed: sound and without delays. */
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

/** The schema of `POST /test/behaviour`; members that are left out go back to their defaults. */
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
