import {type Relay} from '@valehitch/transport';
import {match} from 'ts-pattern';
import {type DecisionFields} from '../logs/decision-log.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryContext} from './entry-context.js';
import {type AnswerHead, type RequestedPause} from './gateway-request.js';

/** Options of {@linkcode recordNotices}. */
export type RecordNoticesOptions = {
	/** The server that answered. */
	readonly server: ServerRecord;
	/** The instance through which the answer came; undefined for this instance's own links. */
	readonly relay?: Relay | undefined;
	/** The id of the request. */
	readonly request: string;
	/** When the request was sent, in milliseconds on the monotonic clock. */
	readonly sentAt: number;
};

/** The part of the context that is used to record notices. */
export type RecordNoticesContext = Pick<EntryContext, 'servers' | 'clock' | 'log' | 'metrics' | 'reportLimit' | 'tellRelay' | 'tellRejection'>;

/** The pause of a server that asks for one that cannot be read, in milliseconds. */
const defaultPauseMilliseconds = 1000;
/** The rejections in a second that a brittle server bears whose number cannot be read. */
const defaultRejectionsPerSecond = 1;

/**
Records what a server says of itself in the head of an answer, unless a later process has replaced it.

@param head The head.
@param context The context of the instance.
@param options The server, and the request that it answered.
@example
```ts
recordNotices(head, context, {server, request: 'a1', sentAt});
```
*/
export function recordNotices(head: AnswerHead, context: RecordNoticesContext, options: RecordNoticesOptions): void {
	if (context.servers.isCurrent(options.server)) {
		recordShutdown(head, context, options);
		recordRateLimit(head, context, options);
		recordBrittleness(head, context, options);
		recordPause(head, context, options);
		recordRejection(head, context, options);
		passToRelay(head, context, options);
	}
}

/** A server holds the instance to what it says whose connection it answers. */
function passToRelay({isDraining, pause}: AnswerHead, {tellRelay}: RecordNoticesContext, {server, relay}: RecordNoticesOptions): void {
	if (relay !== undefined && (isDraining || pause.type !== 'none')) {
		tellRelay(relay.instance, {
			type: 'server-notice', server: server.id, isDraining, pause: lengthOf(pause),
		});
	}
}

/** Returns the length of a pause in milliseconds; undefined if none is requested. */
function lengthOf(pause: RequestedPause): number | undefined {
	return match(pause)
		.with({type: 'none'}, () => undefined)
		.with({type: 'requested'}, ({milliseconds}) => milliseconds)
		.with({type: 'invalid'}, () => defaultPauseMilliseconds)
		.exhaustive();
}

function recordShutdown({isDraining}: AnswerHead, {servers, log}: RecordNoticesContext, {server, request}: RecordNoticesOptions): void {
	if (isDraining && servers.markDraining(server.id)) {
		const {id, service, version, startedAt, sequence} = server;
		log('server-draining', {
			server: id, service, version, state: 'draining', startedAt, sequence, request,
		});
	}
}

function recordRateLimit({rateLimit, isNotRun}: AnswerHead, context: RecordNoticesContext, {server, request, sentAt}: RecordNoticesOptions): void {
	const {servers, clock, log} = context;
	const now = clock.monotonic();
	match(rateLimit)
		.with({type: 'limited'}, ({requestsPerSecond}) => {
			if (servers.limits.rates.hear(server, {requestsPerSecond, now})) {
				recordChange(context, {server: server.id, requestsPerSecond, request});
			}
		})
		.with({type: 'unlimited'}, () => {
			// A rejection may come from a part of the server that does not know its limit.
			if (!isNotRun && servers.limits.rates.hearNone(server, {sentAt, now})) {
				recordChange(context, {server: server.id, request});
			}
		})
		.with({type: 'invalid'}, ({value}) => {
			log('server-limit-invalid', {server: server.id, value, request}, 'warn');
		})
		.exhaustive();
}

function recordBrittleness({brittleness}: AnswerHead, {servers, clock, log}: RecordNoticesContext, {server, request, sentAt}: RecordNoticesOptions): void {
	const {brittle} = servers.limits;
	const hear = (rejectionsPerSecond: number): void => {
		if (brittle.hear(server, {rejectionsPerSecond, now: clock.monotonic()})) {
			log('server-brittleness-changed', {server: server.id, rejectionsPerSecond, request}, 'warn');
		}
	};

	match(brittleness)
		.with({type: 'none'}, () => {
			if (brittle.hearNone(server, sentAt)) {
				log('server-brittleness-changed', {server: server.id, request}, 'warn');
			}
		})
		.with({type: 'brittle'}, ({rejectionsPerSecond}) => {
			hear(rejectionsPerSecond);
		})
		.with({type: 'invalid'}, ({value}) => {
			log('server-brittleness-invalid', {server: server.id, value, request}, 'warn');
			hear(defaultRejectionsPerSecond);
		})
		.exhaustive();
}

/** A brittle server that rejects a request is full for all instances, so that each leaves it alone for some time. */
function recordRejection({isNotRun, isFromOtherServer}: AnswerHead, {servers, clock, tellRejection}: RecordNoticesContext, {server}: RecordNoticesOptions): void {
	const rejectionsPerSecond = servers.limits.brittle.rejectionsOf(server);
	if (rejectionsPerSecond !== undefined && isNotRun && !isFromOtherServer) {
		const milliseconds = tellRejection({server: server.id, rejectionsPerSecond});
		servers.limits.pauses.begin(server.id, {milliseconds, now: clock.monotonic()});
	}
}

function recordPause({pause}: AnswerHead, {servers, clock, log, metrics}: RecordNoticesContext, {server, request, sentAt}: RecordNoticesOptions): void {
	const begin = (milliseconds: number): void => {
		servers.limits.pauses.begin(server.id, {milliseconds, now: clock.monotonic()});
		metrics.pauses.inc();
	};

	match(pause)
		.with({type: 'none'}, () => {
			servers.limits.pauses.recordAnswer(server.id, sentAt);
		})
		.with({type: 'requested'}, ({milliseconds}) => {
			begin(milliseconds);
			log('server-pause-requested', {server: server.id, duration: milliseconds, request}, 'warn');
		})
		.with({type: 'invalid'}, ({value}) => {
			begin(defaultPauseMilliseconds);
			log('server-pause-invalid', {
				server: server.id, value, duration: defaultPauseMilliseconds, request,
			}, 'warn');
		})
		.exhaustive();
}

function recordChange({servers, clock, log, metrics, reportLimit}: RecordNoticesContext, fields: DecisionFields): void {
	log('server-limit-changed', fields);
	metrics.limitedServers.set(servers.limits.rates.countAt(clock.monotonic()));
	reportLimit();
}
