import {type ServiceId} from '@valehitch/core';
import {
	type BackendService, type RequestLimits, type Route, type RoutingConfiguration, type WorkspaceAccess,
} from './routing-configuration.js';

/**
Finds routes and the holders of keys in one configuration.

@example
```ts
const table = new RouteTable(configuration);
table.routeOf('desk.example', '/labels/42');
```
*/
export class RouteTable {
	readonly version: number;
	readonly limits: RequestLimits;
	/** Whether requests need a key, unless their route is public. */
	readonly needsKeys: boolean;
	/** The routes of each host, longest prefix first. */
	readonly #routes = new Map<string, Route[]>();
	readonly #holders = new Map<string, WorkspaceAccess>();
	readonly #services = new Map<ServiceId, BackendService>();

	constructor({version, routes, services, limits, workspaces}: RoutingConfiguration) {
		this.version = version;
		this.limits = limits;
		this.needsKeys = workspaces !== undefined;
		for (const service of services) {
			this.#services.set(service.id, service);
		}

		for (const workspace of workspaces ?? []) {
			for (const key of workspace.keys) {
				this.#holders.set(key, workspace);
			}
		}

		for (const route of routes) {
			const host = route.host.toLowerCase();
			this.#routes.set(host, [...this.#routes.get(host) ?? [], route]);
		}

		for (const ofHost of this.#routes.values()) {
			ofHost.sort((one, other) => other.pathPrefix.length - one.pathPrefix.length);
		}
	}

	/**
	Finds the route with the longest prefix.

	@param host The host that the caller named.
	@param path The path without the query.
	@returns The route, or undefined where none matches.
	*/
	routeOf(host: string, path: string): Route | undefined {
		return this.#routes.get(host.toLowerCase())?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	}

	/**
	Finds the workspace that holds a key.

	@param key The key.
	@returns The workspace, or undefined where no workspace has the key.
	*/
	holderOf(key: string): WorkspaceAccess | undefined {
		return this.#holders.get(key);
	}

	/**
	Finds a service.

	@param id The service.
	@returns The service, or undefined where it is not defined.
	*/
	service(id: ServiceId): BackendService | undefined {
		return this.#services.get(id);
	}
}
