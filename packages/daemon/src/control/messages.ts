import {type Command, type CommandAnswer} from '@valehitch/control';
import {type Bill} from '@valehitch/core';
import {type ResultReply} from '../result-reply.js';

/** Asks the control role to carry out a command. */
export type ProposeMessage = {
	readonly scope: 'control';
	readonly type: 'propose';
	readonly command: Command;
};

/** What a proposer gets. */
export type ProposeReply = ResultReply<CommandAnswer>;

/** Asks the control role for a page of the ledger. */
export type LedgerMessage = {
	readonly scope: 'control';
	readonly type: 'ledger';
	/** Bills of this workspace only. */
	readonly workspace?: string | undefined;
	/** How many bills to pass over. */
	readonly after: number;
};

/** A page of the ledger. */
export type LedgerPage = {
	readonly bills: readonly Bill[];
	/** What to pass as `after` for the next page; undefined on the last. */
	readonly next?: number;
};

/** The closed list of messages to the control role. */
export type ControlMessage = ProposeMessage | LedgerMessage;
