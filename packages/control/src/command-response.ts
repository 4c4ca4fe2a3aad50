import {type Failure, type RequestId, type RolloutProgress} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type ClaimOutcome} from './claim.js';
import {type Command} from './command.js';
import {type OrderRecord} from './order.js';

/** The response to a command that reports only the revision. */
export type RevisionResponse = {
	/** The revision after the command. */
	readonly revision: number;
};

/** The response to `take-claim` and `settle-claim`. */
export type ClaimResponse = RevisionResponse & {
	/** The status of the claim after the command. */
	readonly claim: ClaimOutcome;
};

/** The response to `record-bills`. */
export type RecordBillsResponse = RevisionResponse & {
	/** The number of bills that were new in the ledger. */
	readonly recorded: number;
	/** The requests of refused bills. The ledger can no longer tell whether it has recorded these, and must not record a bill twice. */
	readonly expired: readonly RequestId[];
};

/** The response to `advance-rollout` and `stop-version`. */
export type RolloutResponse = RevisionResponse & {
	readonly rollout: RolloutProgress;
};

/** The response to `issue-order` and `complete-order`. */
export type OrderResponse = RevisionResponse & {
	readonly order: OrderRecord;
};

/** The response types by command type. */
export type CommandResponses = {
	'apply-configuration': RevisionResponse;
	'record-bills': RecordBillsResponse;
	'take-claim': ClaimResponse;
	'settle-claim': ClaimResponse;
	'instance-lost': RevisionResponse;
	'advance-rollout': RolloutResponse;
	'stop-version': RolloutResponse;
	'issue-order': OrderResponse;
	'complete-order': OrderResponse;
	expire: RevisionResponse;
	'set-limits': RevisionResponse;
};

/** The response to a command of a given type. */
export type ResponseOf<Kind extends Command> = CommandResponses[Kind['type']];

/** The response to any successful command. */
export type CommandResponse = CommandResponses[Command['type']];

/** The response to a command, or its failure. */
export type CommandResult<Kind extends Command = Command> = Either<Failure, ResponseOf<Kind>>;

/** The position of a command in the replicated log. */
export type LogPosition = {
	readonly term: number;
	readonly index: number;
};
