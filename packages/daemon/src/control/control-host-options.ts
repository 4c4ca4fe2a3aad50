import {type Command, type CommandAnswer} from '@valehitch/control';
import {type Failure, type InstanceId} from '@valehitch/core';
import {type Applied, type ReplicaDelivery} from '@valehitch/replication';
import {type DataFolder} from '@valehitch/storage';
import {type Either} from 'purify-ts';
import {type DaemonBase} from '../daemon-base.js';
import {type JoinMessage, type JoinReply} from './messages.js';

/** What the host of the control role needs. */
export type ControlHostOptions = {
	readonly base: Pick<DaemonBase, 'settings' | 'clock' | 'random' | 'log' | 'timeline' | 'newId'>;
	readonly folder: DataFolder;
	/** Asks another control instance a question of this host's own. */
	readonly ask: (to: InstanceId, message: JoinMessage) => Promise<Either<Failure, JoinReply>>;
	/** The position up to which this replica has every bill. */
	readonly billsHeldUpTo: () => number;
	/** Sends a message between replicas; it may be lost. */
	readonly send: (to: InstanceId, delivery: ReplicaDelivery) => void;
	/** Told once why the role stopped for good. */
	readonly onFailure: (failed: Failure) => void;
};

/** One command that was applied to the control state. */
export type AppliedCommand = Applied<Command, CommandAnswer>;

/** Told of each command that was applied here. */
export type AppliedListener = (applied: AppliedCommand) => void;
