import {type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type RouteTable} from '../configuration/route-table.js';
import {type Route, type WorkspaceAccess} from '../configuration/routing-configuration.js';
import {type ConfigurationLease} from './configuration-lease.js';
import {type GatewayRequest} from './gateway-request.js';

/** What decides whether a request may be sent now. */
export type AuthorizeRequestOptions = {
	/** The newest configuration; undefined before the first. */
	readonly table: RouteTable | undefined;
	readonly lease: ConfigurationLease;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/** A request that may be sent. */
export type AuthorizedRequest = {
	readonly route: Route;
	/** The workspace that holds the key; undefined on routes that need none. */
	readonly workspace: WorkspaceAccess | undefined;
};

/** Time in which a control instance should be found again. */
const retryMilliseconds = 300;

/**
Finds the route of a request and checks its key; asked again right before each send, since either may have been taken away meanwhile.

@param request The request.
@param options The configuration and how sure it is.
@returns The route and the workspace, or why the request may not be sent.
@example
```ts
authorizeRequest(request, {table, lease, now});
```
*/
export function authorizeRequest(request: GatewayRequest, {table, lease, now}: AuthorizeRequestOptions): Either<Failure, AuthorizedRequest> {
	if (table === undefined) {
		return Left(failure('no-configuration', 'Got no configuration yet, wanted one to route by', {retryAfterMilliseconds: retryMilliseconds}));
	}

	// Right after a start the configuration may be older than the newest, so it does not decide yet that something is not allowed.
	return authorizeBy(table, request, {lease, now}).mapLeft(failed => lease.wasConfirmed ? failed : expired(lease.age(now)));
}

function authorizeBy(table: RouteTable, {host, path, key}: GatewayRequest, {lease, now}: Omit<AuthorizeRequestOptions, 'table'>): Either<Failure, AuthorizedRequest> {
	const route = table.routeOf(host, path);
	if (route === undefined) {
		return Left(failure('not-found', `Got ${host} ${path}, wanted a route of configuration ${table.version}`));
	}

	if (!table.needsKeys || route.isPublic) {
		return Right({route, workspace: undefined});
	}

	const workspace = key === undefined ? undefined : table.holderOf(key);
	if (workspace === undefined) {
		return Left(failure('unauthenticated', `Got ${key === undefined ? 'no key' : 'a key that no workspace holds'}, wanted one of configuration ${table.version}`));
	}

	return lease.isValid(now)
		? Right({route, workspace})
		: Left(expired(lease.age(now)));
}

function expired(age: number): Failure {
	const confirmed = age === Number.POSITIVE_INFINITY ? 'never confirmed' : `last confirmed ${Math.round(age)} ms ago`;
	return failure('configuration-expired', `Got a configuration ${confirmed}, wanted it recent enough to decide by`, {retryAfterMilliseconds: retryMilliseconds});
}
