import {type ServiceId, type VersionId} from '@valehitch/core';
import {Packr} from 'msgpackr';
import {type Rollout, type RolloutStage} from '../rollouts/rollout.js';

/** Takes a configuration, unless its version is not above the one held. */
export type PutConfigurationCommand = {
	readonly type: 'put-configuration';
	readonly version: number;
	/** The document as the operator sent it. */
	readonly document: string;
};

/** Begins a roll-out, unless the service is on the way to that version or has it. */
export type StartRolloutCommand = {
	readonly type: 'start-rollout';
	readonly service: ServiceId;
	readonly target: VersionId;
	/** Milliseconds. */
	readonly duration: number;
	/** Milliseconds of the wall clock of the instance that took the order. */
	readonly orderedAt: number;
};

/** Takes a running roll-out to its next stage. */
export type AdvanceRolloutCommand = {
	readonly type: 'advance-rollout';
	readonly service: ServiceId;
	readonly target: VersionId;
	readonly stage: RolloutStage;
};

/** The closed list of commands in the log of a gateway. */
export type GatewayCommand = PutConfigurationCommand | StartRolloutCommand | AdvanceRolloutCommand;

/** What a command gave. */
export type GatewayAnswer
	= | {readonly type: 'configuration'; readonly isNewest: boolean; readonly version: number}
		| {readonly type: 'rollout'; readonly rollout: Rollout};

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/** Writes a command for the log. */
export function encodeGatewayCommand(command: GatewayCommand): Uint8Array {
	return new Uint8Array(packr.pack(command));
}

/** Reads a command of the log. */
export function decodeGatewayCommand(data: Uint8Array): GatewayCommand {
	return packr.unpack(data) as GatewayCommand;
}
