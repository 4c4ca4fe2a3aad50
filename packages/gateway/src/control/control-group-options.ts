import {
	type Clock, type Failure, type InstanceId, type RandomSource, type SuspensionWatch,
} from '@valehitch/core';
import {type Applied} from '@valehitch/replication';
import {type DataFolder} from '@valehitch/storage';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayAnswer, type GatewayCommand} from './gateway-command.js';
import {type JoinMessage, type JoinReply, type ReplicaEnvelope} from './peer-message.js';

/** What a replica of the group needs. */
export type ControlGroupOptions = {
	readonly self: InstanceId;
	readonly folder: DataFolder;
	readonly clock: Clock;
	readonly suspension: Pick<SuspensionWatch, 'lastWake'>;
	readonly random: RandomSource;
	readonly log: DecisionLog;
	/** The last time at which a former run of the replica can have acknowledged a lease, in milliseconds on the monotonic clock. */
	readonly lastAcknowledgedAt: number;
	/** Whether the whole system starts for the first time; only then a group may be founded. */
	readonly isFounding: boolean;
	/** The instances that found the group together. */
	readonly founders: readonly InstanceId[];
	/** All control instances that are known now. */
	readonly peers: () => readonly InstanceId[];
	/** Sends a message between replicas; it may be lost. */
	readonly send: (to: InstanceId, envelope: ReplicaEnvelope) => void;
	/** Asks another control instance; undefined where no reply came. */
	readonly join: (to: InstanceId, message: JoinMessage) => Promise<JoinReply | undefined>;
	/** Told of each command that is applied here. */
	readonly onApplied: (applied: Applied<GatewayCommand, GatewayAnswer>) => void;
	/** Told once why the replica stopped. */
	readonly onFailure: (failed: Failure) => void;
};
