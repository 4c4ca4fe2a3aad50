import {
	type Clock, type Failure, failure, type ServiceId, type VersionId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {type Rollout} from '../rollouts/rollout.js';
import {type GatewayAnswer} from './gateway-command.js';
import {type ConfigurationDocument} from './gateway-state.js';
import {describeResult, type LeaderClient} from './leader-client.js';
import {type StateConfirmation} from './state-confirmation.js';

/** What the calls of operators need. */
export type OperatorCallsOptions = {
	readonly clock: Pick<Clock, 'now'>;
	readonly log: DecisionLog;
	readonly leader: Pick<LeaderClient, 'propose'>;
	readonly confirmation: Pick<StateConfirmation, 'newest'>;
};

const retryMilliseconds = 300;

/**
Carries out what operators ask of the replicated state: changes by way of the leader, and reads of what is surely the newest.

@example
```ts
const calls = new OperatorCalls({clock, log, leader, confirmation});
await calls.submitConfiguration(configuration, document);
```
*/
export class OperatorCalls {
	readonly #options: OperatorCallsOptions;

	constructor(options: OperatorCallsOptions) {
		this.#options = options;
	}

	/**
	Takes a configuration that was checked.

	@param configuration The configuration.
	@param document The document as the operator sent it.
	@returns Whether it is the newest, once it is committed; `no-quorum` where it may or may not be.
	*/
	async submitConfiguration({version}: RoutingConfiguration, document: string): Promise<Either<Failure, GatewayAnswer>> {
		const result = await this.#options.leader.propose({type: 'put-configuration', version, document});
		this.#options.log('configuration-submitted', {version, result: describeResult(result)});
		return result;
	}

	/** The newest configuration, once it is certain that there is no newer one. */
	async readConfiguration(): Promise<Either<Failure, ConfigurationDocument>> {
		const read = await this.#options.confirmation.newest();
		return read.chain(({state: {configuration}}) => configuration === undefined
			? Left(failure('no-configuration', 'Got no configuration yet, wanted one to read', {retryAfterMilliseconds: retryMilliseconds}))
			: Right(configuration));
	}

	/**
	Begins a roll-out.

	@param order The service, the version, and the duration in milliseconds.
	@returns The roll-out, once it is committed.
	*/
	async startRollout(order: {readonly service: ServiceId; readonly target: VersionId; readonly duration: number}): Promise<Either<Failure, GatewayAnswer>> {
		const result = await this.#options.leader.propose({type: 'start-rollout', ...order, orderedAt: this.#options.clock.now().getTime()});
		this.#options.log('rollout-started', {
			service: order.service, target: order.target, duration: order.duration, result: describeResult(result),
		});
		return result;
	}

	/**
	Reads the newest roll-out of a service.

	@param service The service.
	@returns The roll-out; `not-found` where there was none.
	*/
	async readRollout(service: ServiceId): Promise<Either<Failure, Rollout>> {
		const read = await this.#options.confirmation.newest();
		return read.chain(({state: {rollouts}}) => {
			const rollout = rollouts.find(other => other.service === service);
			return rollout === undefined ? Left(failure('not-found', `Got no roll-out of ${service}`)) : Right(rollout);
		});
	}
}
