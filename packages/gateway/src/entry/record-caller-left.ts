import {type Route} from '../configuration/routing-configuration.js';
import {type EntryContext} from './entry-context.js';

/** A request that has not been sent, and whose connection is closed. */
export type LeftRequest = {
	/** The caller's id of the request. */
	readonly request: string;
	readonly route: Pick<Route, 'id' | 'kind'>;
	/** When it arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
};

const reason = 'The connection was closed before the request was sent';
const millisecondsPerSecond = 1000;

/**
Records the end of a request whose caller has left before its run began, as while its body was arriving.

@param context The context of the instance.
@param left The request.
@example
```ts
recordCallerLeft(context, {request: 'a1', route, arrivedAt});
```
*/
export function recordCallerLeft({clock, log, metrics, notes}: Pick<EntryContext, 'clock' | 'log' | 'metrics' | 'notes'>, {request, route, arrivedAt}: LeftRequest): void {
	const outcome = 'caller-left';
	const now = clock.monotonic();
	metrics.requests.inc({kind: route.kind, outcome});
	metrics.duration.observe({kind: route.kind}, (now - arrivedAt) / millisecondsPerSecond);
	log('request-ended', {
		request, route: route.id, outcome, sends: 0, duration: Math.round(now - arrivedAt), reason,
	}, 'warn');
	notes.record(request, {at: now, kind: outcome, facts: {reason}});
}
