import {
	type Clock, type Failure, failure, type ServiceId, type VersionId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {type Rollout} from '../rollouts/rollout.js';
import {type GatewayCommandResult} from './gateway-command.js';
import {type ConfigurationDocument} from './gateway-state.js';
import {describeResult, type LeaderClient} from './leader-client.js';
import {type StateConfirmation} from './state-confirmation.js';

/** Options of the operator API. */
export type OperatorApiOptions = {
	readonly clock: Pick<Clock, 'now'>;
	readonly log: DecisionLog;
	readonly leader: Pick<LeaderClient, 'propose'>;
	readonly confirmation: Pick<StateConfirmation, 'newest'>;
};

const retryMilliseconds = 300;

/**
Serves operator requests on the replicated state. Changes are proposed to the leader, and reads are linearizable.

@example
```ts
const operators = new OperatorApi({clock, log, leader, confirmation});
await operators.submitConfiguration(configuration, document);
```
*/
export class OperatorApi {
	readonly #options: OperatorApiOptions;

	constructor(options: OperatorApiOptions) {
		this.#options = options;
	}

	/**
	Submits a validated configuration.

	@param configuration The configuration.
	@param document The document as the operator sent it.
	@returns Whether the configuration is the newest, once it is committed; `no-quorum` if it may or may not have been committed.
	*/
	async submitConfiguration({version}: RoutingConfiguration, document: string): Promise<Either<Failure, GatewayCommandResult>> {
		const result = await this.#options.leader.propose({type: 'put-configuration', version, document});
		this.#options.log('configuration-submitted', {version, result: describeResult(result)});
		return result;
	}

	/** Reads the newest committed configuration. */
	async readConfiguration(): Promise<Either<Failure, ConfigurationDocument>> {
		const read = await this.#options.confirmation.newest();
		return read.chain(({state: {configuration}}) => configuration === undefined
			? Left(failure('no-configuration', 'No configuration has been submitted yet', {retryAfterMilliseconds: retryMilliseconds}))
			: Right(configuration));
	}

	/**
	Starts a rollout.

	@param order The service, the target version, and the duration in milliseconds.
	@returns The rollout, once it is committed.
	*/
	async startRollout(order: {readonly service: ServiceId; readonly target: VersionId; readonly duration: number}): Promise<Either<Failure, GatewayCommandResult>> {
		const result = await this.#options.leader.propose({type: 'start-rollout', ...order, orderedAt: this.#options.clock.now().getTime()});
		this.#options.log('rollout-started', {
			service: order.service, target: order.target, duration: order.duration, result: describeResult(result),
		});
		return result;
	}

	/**
	Reads the newest rollout of a service.

	@param service The service.
	@returns The rollout, or `not-found` if the service has had none.
	*/
	async readRollout(service: ServiceId): Promise<Either<Failure, Rollout>> {
		const read = await this.#options.confirmation.newest();
		return read.chain(({state: {rollouts}}) => {
			const rollout = rollouts.find(other => other.service === service);
			return rollout === undefined ? Left(failure('not-found', `Service ${service} has no rollout`)) : Right(rollout);
		});
	}
}
