import {type ServerRecord} from '../servers/server-record.js';
import {type AuthorizedRequest} from './authorize-request.js';
import {type EntryContext} from './entry-context.js';
import {type GatewayRequest} from './gateway-request.js';
import {type ModelSteps} from './model-steps.js';
import {reachServer} from './reach-server.js';
import {type SendAllowance} from './send-allowance.js';
import {type SentAttempt, sendAttempt, type SilenceBounds} from './send-attempt.js';

/** What is sent, and where. */
export type StartSendOptions = {
	readonly request: GatewayRequest;
	readonly body: Uint8Array;
	readonly server: ServerRecord;
	readonly authorized: AuthorizedRequest;
	readonly models: ModelSteps;
	/** The sends of the request; this one is counted. */
	readonly allowance: SendAllowance;
	/** When the request arrived and when its time ends, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	/** The last event that the caller has; undefined where it has none. */
	readonly lastEventId: string | undefined;
	/** Aborted once the server's process is known to have ended. */
	readonly processEnd: AbortSignal;
};

/** A connection within a region opens in a few milliseconds; one that takes longer than this, or than the whole answer should, is not going to. */
const connectTimeoutMilliseconds = 400;
/** A server that is at work takes a connection within some milliseconds; a lost opening packet is repeated only after a second. */
const reachMilliseconds = 200;
/** A deadline is passed on shorter by the way back, in milliseconds. */
const wayBackMilliseconds = 5;
/** The highest number of an urgency that a server takes. */
const leastUrgent = 9;

/**
Starts one send of a request to a server, by its route, its model and the time that is left.

@param context What requests work with.
@param options What is sent, and where.
@returns The send in progress.
@example
```ts
const attempt = startSend(context, {request, body, server, authorized, models, allowance, arrivedAt, deadlineAt, lastEventId, processEnd});
const outcome = await attempt.outcome;
```
*/
export function startSend(context: EntryContext, options: StartSendOptions): SentAttempt {
	const {request, body, server, authorized: {route, workspace}, models, allowance, arrivedAt, deadlineAt, lastEventId, processEnd} = options;
	const {dialect, clock, log} = context;
	const sentAt = clock.monotonic();
	const attempt = sendAttempt({
		server,
		method: request.method,
		target: request.target,
		headers: dialect.sendHeaders(request, {
			server: server.id,
			model: models.current,
			patience: Math.max(1, Math.floor(deadlineAt - sentAt - wayBackMilliseconds)),
			workspace: workspace?.id,
			urgency: Math.min(leastUrgent, workspace?.priority ?? route.priority),
			lastEventId,
			keepsConnection: allowance.mayRepeat,
		}),
		body,
		mayReuse: allowance.mayRepeat,
		connectTimeout: Math.min(connectTimeoutMilliseconds, route.targetLatency),
		silence: silenceOf(options, context),
		processEnd,
	});
	allowance.begin();
	log('request-dispatched', {
		request: request.id,
		server: server.id,
		version: server.version,
		model: models.current,
		send: allowance.sends,
		age: Math.round(sentAt - arrivedAt),
		resumeAfter: lastEventId,
	});
	return attempt;
}

/** The last send that is allowed waits as long as the caller does. */
function silenceOf({server, models, allowance}: StartSendOptions, {servers}: Pick<EntryContext, 'servers'>): SilenceBounds | undefined {
	if (!allowance.mayRepeat || allowance.isNextLast) {
		return undefined;
	}

	const heardBefore = servers.heardAt(server.id);
	return {
		...models.silence,
		isHeard: () => servers.heardAt(server.id) !== heardBefore,
		isReached: async () => reachServer(server, reachMilliseconds),
	};
}
