import {type ServiceId, type VersionId, type ZoneId} from '@valehitch/core';
import {Packr} from 'msgpackr';
import {type ZoneEvacuation} from '../servers/evacuations.js';
import {type Rollout, type RolloutStage} from '../rollouts/rollout.js';

/** Replaces the configuration if the new version is higher than the current one. */
export type PutConfigurationCommand = {
	readonly type: 'put-configuration';
	readonly version: number;
	/** The document as the operator sent it. */
	readonly document: string;
};

/** Starts a rollout, unless the newest rollout of the service already has this target. */
export type StartRolloutCommand = {
	readonly type: 'start-rollout';
	readonly service: ServiceId;
	readonly target: VersionId;
	/** In milliseconds. */
	readonly duration: number;
	/** The wall-clock time, in milliseconds, of the instance that received the order. */
	readonly orderedAt: number;
	/** How long this instance has received the order without being able to commit it, in milliseconds. */
	readonly waited?: number | undefined;
};

/** Advances a running rollout to its next stage. */
export type AdvanceRolloutCommand = {
	readonly type: 'advance-rollout';
	readonly service: ServiceId;
	readonly target: VersionId;
	readonly stage: RolloutStage;
};

/** Begins or ends the evacuation of an availability zone. */
export type SetEvacuationCommand = {
	readonly type: 'set-evacuation';
	readonly zone: ZoneId;
	readonly isEvacuated: boolean;
	/** The revision of the zone's last order that was known when this one was received, or 0. An order that was delayed until another one about the zone was committed changes nothing. */
	readonly after: number;
};

/** The commands in the replicated log of a gateway. */
export type GatewayCommand = PutConfigurationCommand | StartRolloutCommand | AdvanceRolloutCommand | SetEvacuationCommand;

/** The result of a command. */
export type GatewayCommandResult
	= | {readonly type: 'configuration'; readonly isNewest: boolean; readonly version: number}
		| {readonly type: 'rollout'; readonly rollout: Rollout}
		| {readonly type: 'evacuation'; readonly evacuation: ZoneEvacuation};

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: false});

/** Encodes a command for the log. */
export function encodeGatewayCommand(command: GatewayCommand): Uint8Array {
	return new Uint8Array(packr.pack(command));
}

/** Decodes a command from the log. */
export function decodeGatewayCommand(data: Uint8Array): GatewayCommand {
	return packr.unpack(data) as GatewayCommand;
}
