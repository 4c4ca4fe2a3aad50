import {
	type Clock, type Failure, failure, type ServiceId, type VersionId, type ZoneId,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {type Rollout} from '../rollouts/rollout.js';
import {confirmCaller} from './confirm-caller.js';
import {type GatewayCommandResult} from './gateway-command.js';
import {type ConfigurationDocument} from './gateway-state.js';
import {describeResult, type LeaderClient} from './leader-client.js';
import {OrderWaits} from './order-waits.js';
import {type StateConfirmation} from './state-confirmation.js';

/** Options of the operator API. */
export type OperatorApiOptions = {
	readonly clock: Clock;
	readonly log: DecisionLog;
	readonly leader: Pick<LeaderClient, 'propose'>;
	readonly confirmation: Pick<StateConfirmation, 'newest'>;
	/** The availability zones that may be evacuated. */
	readonly zones: () => readonly ZoneId[];
};

/** An order about an availability zone. */
export type EvacuationOrder = {
	readonly zone: ZoneId;
	/** Whether the servers of the zone get no requests from now on. */
	readonly isEvacuated: boolean;
};

/** Options of an order that must not be carried out once its caller has given it up. */
export type OrderOptions = {
	/** Aborted once the caller has closed its connection. */
	readonly caller: AbortSignal;
};

const retryMilliseconds = 300;
/** How often an order is proposed again after another one about the same zone was committed first. */
const evacuationAttempts = 3;

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
	/** How long each rollout has been ordered here without being committed. */
	readonly #waits = new OrderWaits();

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
	@param options The caller.
	@returns The rollout, once it is committed; `deadline-exceeded` if the caller has left.
	*/
	async startRollout(order: {readonly service: ServiceId; readonly target: VersionId; readonly duration: number}, {caller}: OrderOptions): Promise<Either<Failure, GatewayCommandResult>> {
		const {clock, leader} = this.#options;
		const waited = this.#waits.record(`${order.service} ${order.target}`, clock.monotonic());
		const confirmed = await confirmCaller(caller, {...this.#options, order: `rollout of ${order.service} to ${order.target}`});
		if (confirmed.isLeft()) {
			return Left(confirmed.extract());
		}

		const result = await leader.propose({
			type: 'start-rollout', ...order, orderedAt: clock.now().getTime() - waited, waited,
		});
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

	/**
	Begins or ends the evacuation of an availability zone. An order that is sent again while its zone is in that state already is acknowledged without another entry in the log.

	@param order The zone, and whether it is evacuated.
	@param options The caller.
	@returns The committed order; `not-found` for an unknown zone; `deadline-exceeded` if the caller has left; `no-quorum` if it may or may not have been committed.
	*/
	async setEvacuation({zone, isEvacuated}: EvacuationOrder, {caller}: OrderOptions): Promise<Either<Failure, GatewayCommandResult>> {
		if (!this.#options.zones().includes(zone)) {
			return Left(failure('not-found', `Cannot evacuate availability zone ${zone}: expected one of ${this.#options.zones().join(', ')}`));
		}

		const result = await this.#commitEvacuation({zone, isEvacuated}, caller);
		this.#options.log('evacuation-ordered', {target: zone, isEvacuated, result: describeResult(result)});
		return result;
	}

	async #commitEvacuation({zone, isEvacuated}: EvacuationOrder, caller: AbortSignal): Promise<Either<Failure, GatewayCommandResult>> {
		const {confirmation, leader} = this.#options;
		for (let attempt = 0; attempt < evacuationAttempts; attempt++) {
			const read = await confirmation.newest();
			const current = read.map(({state}) => state.evacuationOf(zone));
			if (current.isLeft()) {
				return Left(current.extract());
			}

			const evacuation = current.unsafeCoerce();
			if (evacuation.isEvacuated === isEvacuated) {
				return Right({type: 'evacuation', evacuation});
			}

			// The revision was read before, so that an order that is committed meanwhile overtakes this one.
			const confirmed = await confirmCaller(caller, {...this.#options, order: `${isEvacuated ? 'evacuation' : 'end of the evacuation'} of ${zone}`});
			if (confirmed.isLeft()) {
				return Left(confirmed.extract());
			}

			const result = await leader.propose({
				type: 'set-evacuation', zone, isEvacuated, after: evacuation.revision,
			});
			const isOvertaken = result.isLeft() && result.extract().kind === 'revision-conflict';
			if (!isOvertaken) {
				return result;
			}
		}

		return Left(failure('no-quorum', `The evacuation of ${zone} was changed by other orders meanwhile`, {retryAfterMilliseconds: retryMilliseconds}));
	}
}
