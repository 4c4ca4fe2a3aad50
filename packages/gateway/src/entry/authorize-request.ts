import {type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type RouteTable} from '../configuration/route-table.js';
import {type Route, type WorkspaceAccess} from '../configuration/routing-configuration.js';
import {type ConfigurationLease} from './configuration-lease.js';
import {type GatewayRequest} from './gateway-request.js';

/** Options of {@linkcode authorizeRequest}. */
export type AuthorizeRequestOptions = {
	/** The current configuration; undefined until the first one is received. */
	readonly table: RouteTable | undefined;
	readonly lease: ConfigurationLease;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
};

/** The route and the workspace of an authorized request. */
export type AuthorizedRequest = {
	/** The configuration by which it was authorized. */
	readonly table: RouteTable;
	readonly route: Route;
	/** The workspace that the API key belongs to; undefined on routes that need no key. */
	readonly workspace: WorkspaceAccess | undefined;
};

/** The retry delay sent to the caller: the time in which the instance usually reaches a control instance again. */
const retryMilliseconds = 300;

/**
Finds the route of a request and checks its API key. Called again before the first send, because the route or the key may have been removed in the meantime.

@param request The request.
@param options The configuration and its lease.
@returns The route and the workspace, or the reason why the request may not be sent.
@example
```ts
authorizeRequest(request, {table, lease, now});
```
*/
export function authorizeRequest(request: GatewayRequest, {table, lease, now}: AuthorizeRequestOptions): Either<Failure, AuthorizedRequest> {
	if (table === undefined) {
		return Left(failure('no-configuration', 'This instance has not received a configuration yet', {retryAfterMilliseconds: retryMilliseconds}));
	}

	// A configuration that may be outdated must not be the reason for a permanent refusal.
	return authorizeWithTable(table, request, {lease, now}).mapLeft(failed => lease.allowsFinalRefusal(now) ? failed : leaseExpired(lease.age(now)));
}

function authorizeWithTable(table: RouteTable, {host, path, key}: GatewayRequest, {lease, now}: Omit<AuthorizeRequestOptions, 'table'>): Either<Failure, AuthorizedRequest> {
	const route = table.findRoute(host, path);
	if (route === undefined) {
		return Left(failure('not-found', `No route matches ${host} ${path} in configuration ${table.version}`));
	}

	if (!table.needsKeys || route.isPublic) {
		return Right({table, route, workspace: undefined});
	}

	const workspace = key === undefined ? undefined : table.findWorkspaceByKey(key);
	if (workspace === undefined) {
		return Left(failure('unauthenticated', key === undefined ? 'The request has no API key' : `The API key belongs to no workspace in configuration ${table.version}`));
	}

	return lease.isValid(now)
		? Right({table, route, workspace})
		: Left(leaseExpired(lease.age(now)));
}

function leaseExpired(age: number): Failure {
	const confirmed = age === Number.POSITIVE_INFINITY ? 'has never been confirmed' : `was last confirmed ${Math.round(age)} ms ago`;
	return failure('configuration-expired', `The configuration ${confirmed}, which is too long ago to authorize requests`, {retryAfterMilliseconds: retryMilliseconds});
}
