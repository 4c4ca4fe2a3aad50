import {type ServerTable} from '@valehitch/membership';
import {type DaemonBase} from '../daemon-base.js';
import {type ActiveConfiguration} from '../distribution/active-configuration.js';
import {type RatingsPart} from '../ratings/ratings-part.js';
import {type BillOutbox} from './bill-outbox.js';
import {type RequestCounter} from './request-counter.js';

/** What the handlers of callers' requests work with. */
export type EntryContext = DaemonBase & {
	readonly servers: ServerTable;
	readonly bills: BillOutbox;
	readonly requests: RequestCounter;
	/** The configuration in force; undefined before the first. */
	readonly active: () => ActiveConfiguration | undefined;
	/** Estimates, local stops and what is seen of versions. */
	readonly ratings: RatingsPart;
};
