import {type Route} from '../configuration/routing-configuration.js';
import {type GatewayRequest} from './gateway-request.js';

/** Options of {@linkcode deadlineOf}. */
export type DeadlineOptions = {
	readonly route: Pick<Route, 'timeout'>;
	/** When the request arrived, in milliseconds on the monotonic clock. */
	readonly arrivedAt: number;
};

/**
Returns when the time limit of a request ends: that of its caller or of its route, whichever is shorter.

@param request The request.
@param options The route and the time of arrival.
@returns Milliseconds on the monotonic clock.
@example
```ts
deadlineOf(request, {route, arrivedAt: 100}); // 2100
```
*/
export function deadlineOf({timeout}: Pick<GatewayRequest, 'timeout'>, {route, arrivedAt}: DeadlineOptions): number {
	return arrivedAt + Math.min(timeout ?? route.timeout, route.timeout);
}
