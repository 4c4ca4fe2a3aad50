import {type Route} from '../configuration/routing-configuration.js';
import {type EntryContext} from './entry-context.js';

/** How a request has ended. */
export type RequestOutcome = 'answered' | 'broken-off' | 'refused' | 'caller-left';

/** A request that has ended. */
export type EndedRequest = {
	/** The caller's id of the request. */
	readonly request: string;
	readonly route: Pick<Route, 'id' | 'kind'>;
	readonly outcome: RequestOutcome;
	/** When it arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
	/** Additional fields of the log line. */
	readonly fields: Readonly<Record<string, string | number | boolean | undefined>>;
};

const millisecondsPerSecond = 1000;

/**
Records the end of a request in the log and the metrics.

@param context The context of the instance.
@param ended The request.
@example
```ts
recordRequestEnd(context, {request: 'a1', route, outcome: 'caller-left', arrivedAt, fields: {sends: 0}});
```
*/
export function recordRequestEnd({clock, log, metrics}: Pick<EntryContext, 'clock' | 'log' | 'metrics'>, {request, route, outcome, arrivedAt, fields}: EndedRequest): void {
	const milliseconds = clock.monotonic() - arrivedAt;
	metrics.requests.inc({kind: route.kind, outcome});
	metrics.duration.observe({kind: route.kind}, milliseconds / millisecondsPerSecond);
	log('request-ended', {
		request, route: route.id, outcome, duration: Math.round(milliseconds), ...fields,
	}, outcome === 'answered' ? 'info' : 'warn');
}
