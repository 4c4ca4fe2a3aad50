import {type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type RoutingConfiguration} from './routing-configuration.js';

/**
Checks what a schema cannot see: names that are not defined, duplicates, and values that leave a route without effect.

@param configuration The configuration.
@returns The same configuration, or `invalid-configuration` with the first problem and its place.
@example
```ts
checkRoutingConfiguration(configuration).isRight();
```
*/
export function checkRoutingConfiguration(configuration: RoutingConfiguration): Either<Failure, RoutingConfiguration> {
	const problem = routeProblem(configuration) ?? keyProblem(configuration);
	return problem === undefined ? Right(configuration) : Left(failure('invalid-configuration', problem));
}

function routeProblem({routes, services}: RoutingConfiguration): string | undefined {
	const known = new Set(services.map(({id}) => id));
	const places = new Map<string, string>();
	for (const route of routes) {
		const unknown = route.services.find(({service}) => !known.has(service));
		if (unknown !== undefined) {
			return `Route ${route.id}: got service ${unknown.service}, wanted one of those defined`;
		}

		if (route.services.reduce((sum, {weight}) => sum + weight, 0) <= 0) {
			return `Route ${route.id}: got weights that add up to 0, wanted a service that takes requests`;
		}

		if (route.timeout <= 0) {
			return `Route ${route.id}: got a timeout of ${route.timeout} ms, wanted more than 0`;
		}

		const place = `${route.host} ${route.pathPrefix}`;
		const other = places.get(place);
		if (other !== undefined) {
			return `Route ${route.id}: got host and prefix ${place}, which route ${other} has already`;
		}

		places.set(place, route.id);
	}

	return undefined;
}

function keyProblem({workspaces = []}: RoutingConfiguration): string | undefined {
	const holders = new Map<string, string>();
	for (const {id, keys} of workspaces) {
		for (const key of keys) {
			const holder = holders.get(key);
			if (holder !== undefined && holder !== id) {
				return `Workspace ${id}: got a key that workspace ${holder} has already`;
			}

			holders.set(key, id);
		}
	}

	return undefined;
}
