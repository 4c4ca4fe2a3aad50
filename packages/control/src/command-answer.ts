import {type Failure, type RequestId, type RolloutProgress} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type ClaimOutcome} from './claim.js';
import {type Command} from './command.js';
import {type OrderRecord} from './order.js';

/** The answer of a command that says nothing but the revision. */
export type RevisionAnswer = {
	/** The revision after the command. */
	readonly revision: number;
};

/** The answer of `take-claim` and `settle-claim`. */
export type ClaimAnswer = RevisionAnswer & {
	/** Where the claim stands after the command. */
	readonly claim: ClaimOutcome;
};

/** The answer of `record-bills`. */
export type BillsAnswer = RevisionAnswer & {
	/** Bills that are new in the ledger. */
	readonly recorded: number;
	/** Bills that were refused, since the ledger no longer remembers whether it has them; never recorded twice. */
	readonly expired: readonly RequestId[];
};

/** The answer of `advance-rollout` and `stop-version`. */
export type RolloutAnswer = RevisionAnswer & {
	readonly rollout: RolloutProgress;
};

/** The answer of `issue-order` and `complete-order`. */
export type OrderAnswer = RevisionAnswer & {
	readonly order: OrderRecord;
};

/** Each command's answer. */
export type CommandAnswers = {
	'apply-configuration': RevisionAnswer;
	'record-bills': BillsAnswer;
	'take-claim': ClaimAnswer;
	'settle-claim': ClaimAnswer;
	'instance-lost': RevisionAnswer;
	'advance-rollout': RolloutAnswer;
	'stop-version': RolloutAnswer;
	'issue-order': OrderAnswer;
	'complete-order': OrderAnswer;
	expire: RevisionAnswer;
	'set-limits': RevisionAnswer;
};

/** The answer of a kind of command. */
export type AnswerOf<Kind extends Command> = CommandAnswers[Kind['type']];

/** The answer of any command that was carried out. */
export type CommandAnswer = CommandAnswers[Command['type']];

/** What a command gave. */
export type CommandResult<Kind extends Command = Command> = Either<Failure, AnswerOf<Kind>>;

/** Where a command stands in the replicated log. */
export type LogPosition = {
	readonly term: number;
	readonly index: number;
};
