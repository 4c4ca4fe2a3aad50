import {type Failure, failure, type ServiceId} from '@valehitch/core';
import {Packr} from 'msgpackr';
import {type Either, Left, Right} from 'purify-ts';
import {match} from 'ts-pattern';
import {isEnded, type Rollout} from '../rollouts/rollout.js';
import {
	type AdvanceRolloutCommand, type GatewayAnswer, type GatewayCommand, type PutConfigurationCommand, type StartRolloutCommand,
} from './gateway-command.js';

/** The newest configuration, as the operator sent it. */
export type ConfigurationDocument = {
	readonly version: number;
	readonly document: string;
};

type SnapshotData = {
	readonly configuration: ConfigurationDocument | undefined;
	readonly rollouts: readonly Rollout[];
};

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/**
The replicated state of a gateway: the configuration with the highest version, and the roll-outs.

@example
```ts
const state = new GatewayState();
state.apply({type: 'put-configuration', version: 1, document: '{}'});
```
*/
export class GatewayState {
	#configuration: ConfigurationDocument | undefined;
	readonly #rollouts = new Map<ServiceId, Rollout>();

	/**
	@param snapshot What `toSnapshot` gave; empty unless given.
	*/
	constructor(snapshot?: Uint8Array) {
		if (snapshot === undefined) {
			return;
		}

		const {configuration, rollouts} = packr.unpack(snapshot) as SnapshotData;
		this.#configuration = configuration;
		for (const rollout of rollouts) {
			this.#rollouts.set(rollout.service, rollout);
		}
	}

	/** The newest configuration; undefined before the first. */
	get configuration(): ConfigurationDocument | undefined {
		return this.#configuration;
	}

	/** The newest roll-out of each service that had one. */
	get rollouts(): readonly Rollout[] {
		return [...this.#rollouts.values()];
	}

	/**
	Carries out a command of the log.

	@param command The command.
	@returns What it gave, or why it changed nothing.
	*/
	apply(command: GatewayCommand): Either<Failure, GatewayAnswer> {
		return match(command)
			.with({type: 'put-configuration'}, put => this.#put(put))
			.with({type: 'start-rollout'}, start => this.#start(start))
			.with({type: 'advance-rollout'}, advance => this.#advance(advance))
			.exhaustive();
	}

	/**
	Answers a command that would change nothing.

	@param command The command.
	@returns What it would give; undefined where it may change something.
	*/
	answerOf(command: GatewayCommand): GatewayAnswer | undefined {
		const held = this.#configuration?.version;
		return command.type === 'put-configuration' && held !== undefined && command.version <= held
			? {type: 'configuration', isNewest: false, version: held}
			: undefined;
	}

	/** The whole state as bytes. */
	toSnapshot(): Uint8Array {
		const data: SnapshotData = {configuration: this.#configuration, rollouts: this.rollouts};
		return new Uint8Array(packr.pack(data));
	}

	#put(put: PutConfigurationCommand): Either<Failure, GatewayAnswer> {
		const held = this.answerOf(put);
		if (held !== undefined) {
			return Right(held);
		}

		const {version, document} = put;
		this.#configuration = {version, document};
		return Right({type: 'configuration', isNewest: true, version});
	}

	#start({service, target, duration, orderedAt}: StartRolloutCommand): Either<Failure, GatewayAnswer> {
		const current = this.#rollouts.get(service);
		if (current?.target === target) {
			return Right({type: 'rollout', rollout: current});
		}

		if (current !== undefined && !isEnded(current)) {
			return Left(failure('revision-conflict', `Got a roll-out of ${service} to ${target}, wanted the one to ${current.target} to end first`));
		}

		const rollout: Rollout = {
			service, target, duration, stage: 'canary', orderedAt,
		};
		this.#rollouts.set(service, rollout);
		return Right({type: 'rollout', rollout});
	}

	#advance({service, target, stage}: AdvanceRolloutCommand): Either<Failure, GatewayAnswer> {
		const current = this.#rollouts.get(service);
		if (current?.target !== target) {
			return Left(failure('not-found', `Got the next stage of a roll-out of ${service} to ${target}, wanted one that was begun`));
		}

		const rollout = isEnded(current) ? current : {...current, stage};
		this.#rollouts.set(service, rollout);
		return Right({type: 'rollout', rollout});
	}
}
