import {type Command, type CommandResponse} from '@valehitch/control';
import {type Failure, type InstanceId} from '@valehitch/core';
import {type Applied, type AddressedReplicaMessage} from '@valehitch/replication';
import {type DataFolder} from '@valehitch/storage';
import {type Either} from 'purify-ts';
import {type DaemonBase} from '../daemon-base.js';
import {type JoinMessage, type JoinReply} from './messages.js';

/** The dependencies of a `ControlHost`. */
export type ControlHostOptions = {
	readonly base: Pick<DaemonBase, 'settings' | 'clock' | 'random' | 'log' | 'timeline' | 'newId'>;
	readonly folder: DataFolder;
	/** Sends a join request to another control instance. */
	readonly ask: (to: InstanceId, message: JoinMessage) => Promise<Either<Failure, JoinReply>>;
	/** Returns the position up to which this replica has all bills. */
	readonly billsHeldUpTo: () => number;
	/** Sends a message to another replica; the message may be lost. */
	readonly send: (to: InstanceId, delivery: AddressedReplicaMessage) => void;
	/** Called once if the role stops permanently, with the reason. */
	readonly onFailure: (failed: Failure) => void;
};

/** A command that was applied to the control state, with its result. */
export type AppliedCommand = Applied<Command, CommandResponse>;

/** Called with each command that this replica has applied. */
export type AppliedListener = (applied: AppliedCommand) => void;
