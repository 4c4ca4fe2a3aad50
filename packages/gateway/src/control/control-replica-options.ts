import {
	type Clock, type Failure, type InstanceId, type RandomSource, type SuspensionDetector,
} from '@valehitch/core';
import {type Applied} from '@valehitch/replication';
import {type DataFolder} from '@valehitch/storage';
import {type DecisionLog} from '../logs/decision-log.js';
import {type GatewayCommandResult, type GatewayCommand} from './gateway-command.js';
import {type JoinMessage, type JoinReply, type ReplicaEnvelope} from './peer-message.js';

/** Options of a control replica. */
export type ControlReplicaOptions = {
	readonly self: InstanceId;
	readonly folder: DataFolder;
	readonly clock: Clock;
	readonly suspension: Pick<SuspensionDetector, 'lastWake'>;
	readonly random: RandomSource;
	readonly log: DecisionLog;
	/** The latest time at which a previous run of the replica may have acknowledged a lease, in milliseconds on the monotonic clock. */
	readonly lastAcknowledgedAt: number;
	/** Whether the whole system starts for the first time; a group may be bootstrapped only then. */
	readonly isFounding: boolean;
	/** When the process started, in milliseconds on the monotonic clock. */
	readonly processStartedAt: number;
	/** The instances that form the initial group. */
	readonly initialMembers: readonly InstanceId[];
	/** How many control instances may lose their disks at the same time. */
	readonly toleratedLosses: number;
	/** All control instances that are currently known. */
	readonly peers: () => readonly InstanceId[];
	/** Sends a message to another replica; delivery is not guaranteed. */
	readonly send: (to: InstanceId, envelope: ReplicaEnvelope) => void;
	/** Sends a join request to another control instance; resolves to `undefined` if no reply arrives. */
	readonly requestJoin: (to: InstanceId, message: JoinMessage) => Promise<JoinReply | undefined>;
	/** Called after each command is applied locally. */
	readonly onApplied: (applied: Applied<GatewayCommand, GatewayCommandResult>) => void;
	/** Called once, with the reason, when the replica stops because of a failure. */
	readonly onFailure: (failed: Failure) => void;
};
