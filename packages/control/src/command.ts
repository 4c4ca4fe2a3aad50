import {
	type Bill, type ChangeId, type Configuration, type Revision,
} from '@valehitch/core';

/** Replaces the operators' document if the revision is still the wanted one. */
export type ApplyConfigurationCommand = {
	readonly type: 'apply-configuration';
	readonly changeId: ChangeId;
	/** The digest of the document, so that a resend can be told from another change. */
	readonly digest: string;
	readonly expectedRevision: Revision;
	readonly document: Configuration;
};

/** Puts settled bills into the ledger; one that is there already is passed over. */
export type RecordBillsCommand = {
	readonly type: 'record-bills';
	readonly bills: readonly Bill[];
};

/** The closed list of commands on the replicated state. */
export type Command = ApplyConfigurationCommand | RecordBillsCommand;
