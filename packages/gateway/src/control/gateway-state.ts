import {
	type Failure, failure, type ServiceId, type ZoneId,
} from '@valehitch/core';
import {Packr} from 'msgpackr';
import {type Either, Left, Right} from 'purify-ts';
import {match} from 'ts-pattern';
import {isEnded, type Rollout} from '../rollouts/rollout.js';
import {type Evacuations, noEvacuations, type ZoneEvacuation} from '../servers/evacuations.js';
import {
	type AdvanceRolloutCommand, type GatewayCommandResult, type GatewayCommand, type PutConfigurationCommand, type SetEvacuationCommand, type StartRolloutCommand,
} from './gateway-command.js';

/** The newest configuration, as the operator sent it. */
export type ConfigurationDocument = {
	readonly version: number;
	readonly document: string;
};

type SnapshotData = {
	readonly configuration: ConfigurationDocument | undefined;
	readonly rollouts: readonly Rollout[];
	/** Absent in snapshots of versions without evacuations. */
	readonly evacuations?: Evacuations;
};

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/**
The replicated state of a gateway: the configuration with the highest version, the rollouts, and the evacuations of availability zones.

@example
```ts
const state = new GatewayState();
state.apply({type: 'put-configuration', version: 1, document: '{}'});
```
*/
export class GatewayState {
	#configuration: ConfigurationDocument | undefined;
	readonly #rollouts = new Map<ServiceId, Rollout>();
	#evacuations = noEvacuations;

	/**
	@param snapshot The output of `toSnapshot`; the state starts empty without one.
	*/
	constructor(snapshot?: Uint8Array) {
		if (snapshot === undefined) {
			return;
		}

		const {configuration, rollouts, evacuations = noEvacuations} = packr.unpack(snapshot) as SnapshotData;
		this.#configuration = configuration;
		this.#evacuations = evacuations;
		for (const rollout of rollouts) {
			this.#rollouts.set(rollout.service, rollout);
		}
	}

	/** The newest configuration, or `undefined` before the first one. */
	get configuration(): ConfigurationDocument | undefined {
		return this.#configuration;
	}

	/** The newest rollout of each service that has had one. */
	get rollouts(): readonly Rollout[] {
		return [...this.#rollouts.values()];
	}

	/** The last order about each availability zone that has had one. */
	get evacuations(): Evacuations {
		return this.#evacuations;
	}

	/**
	Returns the last order about a zone.

	@param zone The zone.
	@returns The order; one that was never committed has revision 0.
	*/
	evacuationOf(zone: ZoneId): ZoneEvacuation {
		return this.#evacuations.zones.find(other => other.zone === zone) ?? {zone, isEvacuated: false, revision: 0};
	}

	/**
	Applies a committed command.

	@param command The command.
	@returns The result, or the reason why the state did not change.
	*/
	apply(command: GatewayCommand): Either<Failure, GatewayCommandResult> {
		return match(command)
			.with({type: 'put-configuration'}, put => this.#put(put))
			.with({type: 'start-rollout'}, start => this.#start(start))
			.with({type: 'advance-rollout'}, advance => this.#advance(advance))
			.with({type: 'set-evacuation'}, order => this.#setEvacuation(order))
			.exhaustive();
	}

	/**
	Answers a command that would not change the state, so that it need not be appended to the log.

	@param command The command.
	@returns The result that the command would have, or `undefined` if it may change the state.
	*/
	answerWithoutCommit(command: GatewayCommand): GatewayCommandResult | undefined {
		if (command.type === 'set-evacuation') {
			const evacuation = this.evacuationOf(command.zone);
			return evacuation.isEvacuated === command.isEvacuated ? {type: 'evacuation', evacuation} : undefined;
		}

		const currentVersion = this.#configuration?.version;
		return command.type === 'put-configuration' && currentVersion !== undefined && command.version <= currentVersion
			? {type: 'configuration', isNewest: false, version: currentVersion}
			: undefined;
	}

	/** Serializes the whole state. */
	toSnapshot(): Uint8Array {
		const data: SnapshotData = {configuration: this.#configuration, rollouts: this.rollouts, evacuations: this.#evacuations};
		return new Uint8Array(packr.pack(data));
	}

	#put(put: PutConfigurationCommand): Either<Failure, GatewayCommandResult> {
		const unchanged = this.answerWithoutCommit(put);
		if (unchanged !== undefined) {
			return Right(unchanged);
		}

		const {version, document} = put;
		this.#configuration = {version, document};
		return Right({type: 'configuration', isNewest: true, version});
	}

	#setEvacuation(order: SetEvacuationCommand): Either<Failure, GatewayCommandResult> {
		const unchanged = this.answerWithoutCommit(order);
		if (unchanged !== undefined) {
			return Right(unchanged);
		}

		const {zone, isEvacuated, after} = order;
		if (this.evacuationOf(zone).revision !== after) {
			return Left(failure('revision-conflict', `Cannot change the evacuation of ${zone}: another order about it was committed first`));
		}

		const revision = this.#evacuations.revision + 1;
		const evacuation = {zone, isEvacuated, revision};
		this.#evacuations = {revision, zones: [...this.#evacuations.zones.filter(other => other.zone !== zone), evacuation]};
		return Right({type: 'evacuation', evacuation});
	}

	#start({service, target, duration, orderedAt, waited}: StartRolloutCommand): Either<Failure, GatewayCommandResult> {
		const current = this.#rollouts.get(service);
		if (current?.target === target) {
			return Right({type: 'rollout', rollout: current});
		}

		if (current !== undefined && !isEnded(current)) {
			return Left(failure('revision-conflict', `Cannot start a rollout of ${service} to ${target}: the rollout to ${current.target} is still in progress`));
		}

		const rollout: Rollout = {
			service, target, duration, stage: 'canary', orderedAt, ...(waited !== undefined && {waited}),
		};
		this.#rollouts.set(service, rollout);
		return Right({type: 'rollout', rollout});
	}

	#advance({service, target, stage}: AdvanceRolloutCommand): Either<Failure, GatewayCommandResult> {
		const current = this.#rollouts.get(service);
		if (current?.target !== target) {
			return Left(failure('not-found', `Cannot advance the rollout of ${service} to ${target}: no such rollout has been started`));
		}

		const rollout = isEnded(current) ? current : {...current, stage};
		this.#rollouts.set(service, rollout);
		return Right({type: 'rollout', rollout});
	}
}
