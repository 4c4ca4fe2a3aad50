import {decideOverdue} from '@valehitch/routing';
import {type Relay} from '@valehitch/transport';
import {type ServerRecord} from '../servers/server-record.js';
import {type AuthorizedRequest} from './authorize-request.js';
import {checkServerIdentity, type CheckServerIdentityOptions, type ServerIdentity} from './check-server-identity.js';
import {type EntryContext} from './entry-context.js';
import {type WaitingSend} from './evidence-counter.js';
import {type GatewayRequest} from './gateway-request.js';
import {type ModelCascade} from './model-cascade.js';
import {type AnswerPatience} from './answer-patience.js';
import {isServerReachable} from './is-server-reachable.js';
import {isServerRunning} from './is-server-running.js';
import {type SendAllowance} from './send-allowance.js';
import {type OverdueFacts, type OverdueWatchOptions} from './overdue-watch.js';
import {type SentAttempt, sendAttempt} from './send-attempt.js';

/** Options of {@linkcode startSend}. */
export type StartSendOptions = {
	readonly request: GatewayRequest;
	readonly body: Uint8Array;
	readonly server: ServerRecord;
	/** The instance through which the server is reached; undefined for this instance's own links. */
	readonly relay: Relay | undefined;
	readonly authorized: AuthorizedRequest;
	readonly models: ModelCascade;
	/** The send limit of the request, which counts this send. */
	readonly allowance: SendAllowance;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	/** The deadline of the request, in milliseconds on the monotonic clock. */
	readonly deadlineAt: number;
	/** The id of the last event that the caller received; undefined if there is none. */
	readonly lastEventId: string | undefined;
	/** Aborted when the server's process is known to have ended. */
	readonly processEnd: AbortSignal;
	/** Checked right before the request is written. */
	readonly mayStillSend: () => boolean;
	/** How long the head of the answer is waited for. */
	readonly patience: AnswerPatience;
	/** Whether the request can be sent elsewhere, or goes on without this send, by whether its server is responsive. */
	readonly canGoOn: (facts: Pick<OverdueFacts, 'isResponsive'>) => boolean;
	/** Called when the answer is late and no other server is asked, with the reason. */
	readonly onWait: (reason: string) => void;
};

/** The maximum connection timeout, in milliseconds. Within a region, a connection takes a few milliseconds. The timeout is also limited by the target latency of the route. */
const connectTimeoutMilliseconds = 400;
/** The timeout of a reachability check, in milliseconds. A busy server accepts a connection within a few milliseconds, and a lost SYN packet is retransmitted only after a second. */
const reachabilityTimeoutMilliseconds = 200;
/** How long a request that can be sent again waits for a server to say who it is, in milliseconds; longer than a running server is silent. */
const identityTimeoutMilliseconds = 2500;
/** The time that is subtracted from the forwarded deadline for the transmission of the answer, in milliseconds. */
const returnMilliseconds = 5;
/** The highest urgency number, for the least urgent requests, that servers accept. */
const maximumUrgency = 9;

/**
Starts a send of a request to a server, with the timeouts and headers that follow from its route, its model and the time left.

@param context The context of the instance.
@param options The request and the server.
@returns The send in progress.
@example
```ts
const attempt = startSend(context, {request, body, server, relay, authorized, models, allowance, arrivedAt, deadlineAt, lastEventId, processEnd, mayStillSend, patience, canGoOn, onWait});
const outcome = await attempt.outcome;
```
*/
export function startSend(context: EntryContext, options: StartSendOptions): SentAttempt {
	const {request, body, server, relay, authorized, models, allowance, arrivedAt, deadlineAt, lastEventId, processEnd} = options;
	const {route, workspace} = authorized;
	const {dialect, clock, log, links} = context;
	const sentAt = clock.monotonic();
	const mayReuseConnection = allowance.mayUseKeptConnection;
	const attempt = sendAttempt({
		server,
		relay,
		method: request.method,
		target: request.target,
		headers: dialect.sendHeaders(request, {
			server: server.id,
			model: models.current,
			timeout: Math.max(1, Math.floor(deadlineAt - sentAt - returnMilliseconds)),
			workspace: workspace?.id,
			urgency: Math.min(maximumUrgency, urgencyOf(options, context)),
			lastEventId,
			keepsConnection: mayReuseConnection,
		}),
		body,
		mayReuseConnection,
		mayStillSend: options.mayStillSend,
		connectTimeout: Math.min(connectTimeoutMilliseconds, route.targetLatency),
		watch: watchOf(options, context),
		onConnect() {
			links.of(server.service).recordConnected();
		},
		processEnd,
		isServerRunning: async ({mayBeLate}) => isServerRunning(server, {
			...context, relay, mayBeLate, identify: async usedRelay => identifyServer(context, options, usedRelay),
		}),
		clock,
	});
	void recordWait(attempt, context.evidence.beginWait({
		service: server.service, version: server.version, route: route.id, model: models.current,
	}));
	allowance.countSend();
	context.hedges.recordSend(server.service, {server: server.id, now: sentAt});
	const {ages} = context.freshness;
	log('request-dispatched', {
		request: request.id,
		server: server.id,
		relay: relay?.instance,
		version: server.version,
		model: models.current,
		firstModelReason: models.firstReason,
		send: allowance.sends,
		age: Math.round(sentAt - arrivedAt),
		configurationAge: Math.round(ages.configuration),
		serversAge: Math.round(ages.servers),
		resumeAfter: lastEventId,
	});
	return attempt;
}

/** Records how long the head of the answer was waited for, as evidence about the version. */
async function recordWait(attempt: SentAttempt, wait: WaitingSend): Promise<void> {
	const {type} = await attempt.outcome;
	wait.end({isAnswered: type === 'head'});
}

/** Asks the process at the address of a server whether it is that server; it cannot be asked where the configuration of the request has no health check. */
async function identifyServer({dialect, clock}: Pick<EntryContext, 'dialect' | 'clock'>, options: StartSendOptions, relay: CheckServerIdentityOptions['relay']): Promise<ServerIdentity> {
	const {server, authorized: {table}, allowance, deadlineAt, processEnd} = options;
	const healthPath = table.findService(server.service)?.healthPath;
	if (healthPath === undefined) {
		return 'unknown';
	}

	const timeLeft = Math.max(0, deadlineAt - clock.monotonic());
	return checkServerIdentity(server, {
		dialect,
		healthPath,
		relay,
		connectTimeout: connectTimeoutMilliseconds,
		// A part of the time is left for another send.
		timeout: allowance.canRetry ? Math.min(identityTimeoutMilliseconds, timeLeft / 2) : timeLeft,
		processEnd,
	});
}

/** Returns the rank of the request by workspace and route where the load of the pool is known and requests compete by rank; otherwise the priority of its workspace replaces that of its route. */
function urgencyOf({authorized: {route, workspace}}: StartSendOptions, {table, poolLoads}: Pick<EntryContext, 'table' | 'poolLoads'>): number {
	const rank = Number.isFinite(poolLoads.picture().age) ? table()?.urgencyOf(route, workspace) : undefined;
	return rank ?? workspace?.priority ?? route.priority;
}

/** Returns how the send is watched; undefined for the last allowed send, which may take until the caller's deadline. */
function watchOf(options: StartSendOptions, context: EntryContext): OverdueWatchOptions | undefined {
	const {server, relay, allowance, patience, canGoOn, onWait, deadlineAt} = options;
	if (!allowance.isRepeatable || allowance.isNextSendLast) {
		return undefined;
	}

	const {servers, links, clock, answerTimes, hedges} = context;
	const sentAt = clock.monotonic();
	const heardBefore = servers.heardAt(server.id);
	let isLate = false;
	return {
		firstCheckAfter: Math.min(patience.lateAfter, patience.patienceOnReused),
		checkAfter: patience.checkAfter,
		hasSentData: () => servers.heardAt(server.id) !== heardBefore,
		async isReachable() {
			if (relay !== undefined) {
				return await relay.probe(server) === 'open';
			}

			const isReachable = await isServerReachable(server, reachabilityTimeoutMilliseconds);
			if (!isReachable) {
				links.of(server.service).recordUnreachable(server.id);
			}

			return isReachable;
		},
		decide({waited, isResponsive, isReused}) {
			const now = clock.monotonic();
			const lateAfter = isReused ? Math.min(patience.lateAfter, patience.patienceOnReused) : patience.lateAfter;
			if (!isLate && waited >= lateAfter) {
				isLate = true;
				hedges.recordLate(server.service, {server: server.id, now});
			}

			const decision = decideOverdue({
				waited,
				timeLeft: deadlineAt - now,
				lateAfter,
				patience: isReused ? patience.patienceOnReused : patience.patience,
				answerTime: patience.answerTime,
				overtakenBy: answerTimes.overtakenBy(patience.key, {sentAt}),
				isResponsive,
				canGoElsewhere: canGoOn({isResponsive}),
				hasAllowance: hedges.allows(server.service, {server: server.id, now}),
				hasLastAllowance: hedges.allowsLast(server.service, now),
			});
			if (decision.type === 'wait' && decision.reason !== 'not-late') {
				onWait(decision.reason);
			}

			return decision;
		},
	};
}
