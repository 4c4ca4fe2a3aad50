import {type ServerTable} from '@valehitch/membership';
import {type DecisionRing, type StageHistory} from '@valehitch/routing';
import {type DaemonBase} from '../daemon-base.js';
import {type ActiveConfiguration} from '../distribution/active-configuration.js';
import {type RatingsPart} from '../ratings/ratings-part.js';
import {type BillKeeper} from './bills/bill-keeper.js';
import {type HeldBills} from './bills/held-bills.js';
import {type ClaimKeeper} from './claim-keeper.js';
import {type InProgress} from './in-progress.js';
import {type RequestRun} from './life/request-run.js';
import {type RequestCounter} from './request-counter.js';
import {type AdmissionPools} from './traffic/admission-pools.js';
import {type ServerPicker} from './traffic/server-picker.js';

/** What the handlers of callers' requests work with. */
export type EntryContext = DaemonBase & {
	readonly servers: ServerTable;
	/** This instance's bills. */
	readonly bills: BillKeeper;
	/** The copies of other instances' bills. */
	readonly held: HeldBills;
	readonly claims: ClaimKeeper;
	readonly requests: RequestCounter;
	/** The requests in progress. */
	readonly runs: Set<RequestRun>;
	/** How many requests are in progress on each version. */
	readonly inProgress: InProgress;
	/** Admits requests by the capacity of the servers. */
	readonly admission: AdmissionPools;
	/** Picks servers, and knows those whose requests fail. */
	readonly picker: ServerPicker;
	/** How long the stages of attempts took. */
	readonly history: StageHistory;
	/** Why the latest requests went where they went. */
	readonly decisions: DecisionRing;
	/** The configuration in force; undefined before the first. */
	readonly active: () => ActiveConfiguration | undefined;
	/** Estimates, local stops and what is seen of versions. */
	readonly ratings: RatingsPart;
};
