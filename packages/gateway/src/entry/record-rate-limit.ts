import {match} from 'ts-pattern';
import {type DecisionFields} from '../logs/decision-log.js';
import {type ServerRecord} from '../servers/server-record.js';
import {type EntryContext} from './entry-context.js';
import {type AnswerHead} from './gateway-request.js';

/** Options of {@linkcode recordRateLimit}. */
export type RecordRateLimitOptions = {
	/** The server that answered. */
	readonly server: ServerRecord;
	/** The id of the request. */
	readonly request: string;
	/** When the request was sent, in milliseconds on the monotonic clock. */
	readonly sentAt: number;
};

/** The part of the context that is used to record a limit. */
export type RecordRateLimitContext = Pick<EntryContext, 'servers' | 'clock' | 'log' | 'metrics' | 'reportLimit'>;

/**
Records what the head of an answer says of its server's rate limit.

@param head The head.
@param context The context of the instance.
@param options The server, and the request that it answered.
@example
```ts
recordRateLimit(head, context, {server, request: 'a1', sentAt});
```
*/
export function recordRateLimit({rateLimit}: Pick<AnswerHead, 'rateLimit'>, context: RecordRateLimitContext, {server, request, sentAt}: RecordRateLimitOptions): void {
	const {servers, clock, log} = context;
	const now = clock.monotonic();
	if (!servers.isCurrent(server)) {
		return;
	}

	match(rateLimit)
		.with({type: 'limited'}, ({requestsPerSecond}) => {
			if (servers.rateLimits.hear(server, {requestsPerSecond, now})) {
				recordChange(context, {server: server.id, requestsPerSecond, request});
			}
		})
		.with({type: 'unlimited'}, () => {
			if (servers.rateLimits.hearNone(server, {sentAt, now})) {
				recordChange(context, {server: server.id, request});
			}
		})
		.with({type: 'invalid'}, ({value}) => {
			log('server-limit-invalid', {server: server.id, value, request}, 'warn');
		})
		.exhaustive();
}

function recordChange({servers, clock, log, metrics, reportLimit}: RecordRateLimitContext, fields: DecisionFields): void {
	log('server-limit-changed', fields);
	metrics.limitedServers.set(servers.rateLimits.countAt(clock.monotonic()));
	reportLimit();
}
