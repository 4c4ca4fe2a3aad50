import {type Failure, type ServiceId} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {type ConfigurationDocument} from './gateway-state.js';

/** The rate limit of the cold servers of a service. */
export type ColdLimit = {
	/** The requests per second that a cold server tolerates. */
	readonly requestsPerSecond: number;
	/** How long a server is cold after its start, in milliseconds. */
	readonly duration: number;
};

/** How far the rate of a cold server may exceed the one that its service configures. */
export type ColdTolerance = {
	/** The factor by which it may. */
	readonly factor: number;
	/** The requests per second by which it may beyond that. */
	readonly slack: number;
};

/** Options of {@linkcode ColdLimits}. */
export type ColdLimitsOptions = {
	readonly tolerance: ColdTolerance;
	/** Parses a configuration document. */
	readonly parse: (document: string) => Either<Failure, RoutingConfiguration>;
};

/**
The rate limits of cold servers by service, from the current configuration.

@example
```ts
const limits = new ColdLimits({tolerance: {factor: 1.5, slack: 5}, parse});
limits.of(service, configuration)?.requestsPerSecond;
```
*/
export class ColdLimits {
	readonly #options: ColdLimitsOptions;
	#version: number | undefined;
	#limits: ReadonlyMap<ServiceId, ColdLimit> = new Map();

	constructor(options: ColdLimitsOptions) {
		this.#options = options;
	}

	/**
	Returns the limit of a service.

	@param service The service.
	@param configuration The current configuration.
	@returns The limit; undefined if its cold servers tolerate as many requests as others.
	*/
	of(service: ServiceId, configuration: ConfigurationDocument | undefined): ColdLimit | undefined {
		if (configuration !== undefined && configuration.version !== this.#version) {
			this.#version = configuration.version;
			this.#limits = this.#read(configuration);
		}

		return this.#limits.get(service);
	}

	#read({document}: ConfigurationDocument): ReadonlyMap<ServiceId, ColdLimit> {
		const {parse, tolerance: {factor, slack}} = this.#options;
		const services = parse(document).map(configuration => configuration.services).orDefault([]);
		const limits = new Map<ServiceId, ColdLimit>();
		for (const {id, cold} of services) {
			if (cold !== undefined) {
				limits.set(id, {requestsPerSecond: (cold.requestsPerSecond * factor) + slack, duration: cold.duration});
			}
		}

		return limits;
	}
}
