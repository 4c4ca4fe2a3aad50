import {type InstanceId, type RandomSource, type ZoneId} from '@valehitch/core';
import {type ServerRecord} from '../servers/server-record.js';
import {type LoadShare} from './load-share.js';

/** How an entry instance chooses among the servers. */
export type EntryServersOptions = {
	readonly zone: ZoneId;
	readonly random: RandomSource;
	/** What the other entry instances have at each server. */
	readonly share: Pick<LoadShare, 'othersOn' | 'noteChange' | 'forget'>;
	/** Told of a record that says less than what is held of the process, with the control instance that sent it; nobody unless given. */
	readonly onOutdated?: (told: ServerRecord, options: {readonly held: ServerRecord; readonly source: InstanceId}) => void;
	/** Told of a process that another one has replaced, at the same address or under the same id. */
	readonly onReplaced: (record: ServerRecord) => void;
};

/** Where records come from. */
export type TakeRecordsOptions = {
	/** The control instance. */
	readonly source: InstanceId;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** Whether the records are all that the control instance has, so that what it said before counts no more; false by default. */
	readonly isWhole?: boolean;
};

/** What a send to a server came to; `ended` where its process ended meanwhile. */
export type SendResult = 'answered' | 'failed' | 'unreachable' | 'ended' | 'gone';
