import {type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type RoutingConfiguration} from './routing-configuration.js';

/**
Checks the rules that a schema cannot express: undefined names, duplicates, and values that would make a route ineffective.

@param configuration The configuration.
@returns The same configuration, or `invalid-configuration` with the first problem and where it occurs.
@example
```ts
checkRoutingConfiguration(configuration).isRight();
```
*/
export function checkRoutingConfiguration(configuration: RoutingConfiguration): Either<Failure, RoutingConfiguration> {
	const problem = findRouteProblem(configuration) ?? findKeyProblem(configuration);
	return problem === undefined ? Right(configuration) : Left(failure('invalid-configuration', problem));
}

function findRouteProblem({routes, services}: RoutingConfiguration): string | undefined {
	const known = new Set(services.map(({id}) => id));
	const routesByPrefix = new Map<string, string>();
	for (const route of routes) {
		const unknown = route.services.find(({service}) => !known.has(service));
		if (unknown !== undefined) {
			return `Route ${route.id}: got service ${unknown.service}, which is not defined`;
		}

		if (route.services.reduce((sum, {weight}) => sum + weight, 0) <= 0) {
			return `Route ${route.id}: the weights of its services add up to 0, so that no service would receive requests`;
		}

		if (route.timeout <= 0) {
			return `Route ${route.id}: timeout must be greater than 0 ms, but is ${route.timeout} ms`;
		}

		const prefixKey = `${route.host} ${route.pathPrefix}`;
		const other = routesByPrefix.get(prefixKey);
		if (other !== undefined) {
			return `Route ${route.id}: host and path prefix ${prefixKey} are already used by route ${other}`;
		}

		routesByPrefix.set(prefixKey, route.id);
	}

	return undefined;
}

function findKeyProblem({workspaces = []}: RoutingConfiguration): string | undefined {
	const ownersByKey = new Map<string, string>();
	for (const {id, keys} of workspaces) {
		for (const key of keys) {
			const owner = ownersByKey.get(key);
			if (owner !== undefined && owner !== id) {
				return `Workspace ${id}: one of its keys is already used by workspace ${owner}`;
			}

			ownersByKey.set(key, id);
		}
	}

	return undefined;
}
