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

/** The shared state of the handlers of callers' requests. */
export type EntryContext = DaemonBase & {
	readonly servers: ServerTable;
	/** The bills of this instance. */
	readonly bills: BillKeeper;
	/** The copies of bills that this instance holds for others. */
	readonly held: HeldBills;
	readonly claims: ClaimKeeper;
	readonly requests: RequestCounter;
	/** The requests in progress. */
	readonly runs: Set<RequestRun>;
	/** The number of requests in progress for each version. */
	readonly inProgress: InProgress;
	/** Limits requests to the capacity of the servers. */
	readonly admission: AdmissionPools;
	/** Selects servers and ejects failing ones. */
	readonly picker: ServerPicker;
	/** The durations of the stages of recent attempts. */
	readonly history: StageHistory;
	/** The routing decisions of recent requests. */
	readonly decisions: DecisionRing;
	/** The configuration in force; undefined until the first one is activated. */
	readonly active: () => ActiveConfiguration | undefined;
	/** Quality estimates, locally stopped versions, and observed outcomes of versions. */
	readonly ratings: RatingsPart;
};
