import {type ServiceId} from '@valehitch/core';
import {
	type BackendService, type RequestLimits, type Route, type RoutingConfiguration, type WorkspaceAccess,
} from './routing-configuration.js';

/**
Looks up routes, services and the workspaces of keys in a configuration.

@example
```ts
const table = new RouteTable(configuration);
table.findRoute('desk.example', '/labels/42');
```
*/
export class RouteTable {
	readonly version: number;
	readonly limits: RequestLimits;
	/** Whether requests require a key unless their route is public. */
	readonly needsKeys: boolean;
	/** The routes of each host, ordered by descending prefix length. */
	readonly #routes = new Map<string, Route[]>();
	readonly #routesWithModels = new Map<ServiceId, Route[]>();
	readonly #workspacesByKey = new Map<string, WorkspaceAccess>();
	readonly #services = new Map<ServiceId, BackendService>();
	/** The most urgent priority of the workspaces that have one. */
	readonly #urgentWorkspacePriority: number;
	/** The number of urgencies of the routes within one priority of workspaces. */
	readonly #routeUrgencies: number;

	constructor({version, routes, services, limits, workspaces}: RoutingConfiguration) {
		this.version = version;
		this.limits = limits;
		this.needsKeys = workspaces !== undefined;
		this.#urgentWorkspacePriority = leastPriority(workspaces ?? []);
		this.#routeUrgencies = 1 + greatestPriority(routes);
		for (const service of services) {
			this.#services.set(service.id, service);
		}

		for (const workspace of workspaces ?? []) {
			for (const key of workspace.keys) {
				this.#workspacesByKey.set(key, workspace);
			}
		}

		for (const route of routes) {
			append(this.#routes, {key: route.host.toLowerCase(), route});
			for (const {service} of route.sizes.length > 0 ? route.services : []) {
				append(this.#routesWithModels, {key: service, route});
			}
		}

		for (const hostRoutes of this.#routes.values()) {
			hostRoutes.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length);
		}
	}

	/**
	Finds the route with the longest matching prefix.

	@param host The host in the request.
	@param path The path without the query.
	@returns The route, or `undefined` if none matches.
	*/
	findRoute(host: string, path: string): Route | undefined {
		return this.#routes.get(host.toLowerCase())?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	}

	/**
	Returns the routes that send requests with a prompt to a service.

	@param service The service.
	@returns The routes.
	*/
	routesWithModels(service: ServiceId): readonly Route[] {
		return this.#routesWithModels.get(service) ?? [];
	}

	/**
	Finds the workspace to which a key belongs.

	@param key The key.
	@returns The workspace, or `undefined` if the key belongs to none.
	*/
	findWorkspaceByKey(key: string): WorkspaceAccess | undefined {
		return this.#workspacesByKey.get(key);
	}

	/**
	Finds a service.

	@param id The service.
	@returns The service, or `undefined` if it is not defined.
	*/
	findService(id: ServiceId): BackendService | undefined {
		return this.#services.get(id);
	}

	/**
	Ranks a request among all requests: by the priority of its workspace, and among workspaces of the same priority by that of its route.

	@param route The route.
	@param workspace The workspace; undefined if the request has none.
	@returns The urgency; a request of the most urgent workspaces has the priority of its route, and a lower number is more urgent.
	*/
	urgencyOf({priority}: Pick<Route, 'priority'>, workspace: Pick<WorkspaceAccess, 'priority'> | undefined): number {
		const levels = workspace?.priority === undefined ? 0 : workspace.priority - this.#urgentWorkspacePriority;
		return (levels * this.#routeUrgencies) + priority;
	}

	/**
	Finds the shortest target latency of the routes that choose among the models of a service.

	@param id The service.
	@returns Milliseconds, or `undefined` if no route does.
	*/
	findModelTarget(id: ServiceId): number | undefined {
		const targets = this.routesWithModels(id).map(({targetLatency}) => targetLatency);
		return targets.length === 0 ? undefined : Math.min(...targets);
	}
}

/** Returns the most urgent priority. A call of `Math.min` takes only some 100,000 arguments. */
function leastPriority(workspaces: readonly WorkspaceAccess[]): number {
	let least = Number.POSITIVE_INFINITY;
	for (const {priority} of workspaces) {
		least = Math.min(least, priority ?? least);
	}

	return least;
}

/** Returns the least urgent priority; 0 if none is higher. */
function greatestPriority(routes: readonly Route[]): number {
	let greatest = 0;
	for (const {priority} of routes) {
		greatest = Math.max(greatest, priority);
	}

	return greatest;
}

/** Appends a route to the list of a key in place: copies of the lists would take quadratic time. */
function append<Key>(lists: Map<Key, Route[]>, {key, route}: {readonly key: Key; readonly route: Route}): void {
	const list = lists.get(key);
	if (list === undefined) {
		lists.set(key, [route]);
	} else {
		list.push(route);
	}
}
