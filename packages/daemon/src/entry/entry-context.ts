import {type Clock} from '@valehitch/core';
import {type Settings} from '@valehitch/settings';
import {type Metrics} from '../metrics.js';
import {type Timeline} from '../timeline.js';
import {type ActiveConfiguration} from './active-configuration.js';
import {type BillOutbox} from './bill-outbox.js';
import {type RequestCounter} from './request-counter.js';
import {type ServerTable} from './server-table.js';

/** What the handlers of callers' requests work with. */
export type EntryContext = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly timeline: Timeline;
	readonly metrics: Metrics;
	readonly servers: ServerTable;
	readonly bills: BillOutbox;
	readonly requests: RequestCounter;
	/** The configuration in force; undefined before the first. */
	readonly active: () => ActiveConfiguration | undefined;
	/** Gives a new id. */
	readonly newId: () => string;
};
