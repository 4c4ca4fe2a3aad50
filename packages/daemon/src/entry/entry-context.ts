import {type ServerTable} from '@valehitch/membership';
import {type DecisionHistory, type StageHistory} from '@valehitch/routing';
import {type DaemonBase} from '../daemon-base.js';
import {type ActiveConfiguration} from '../distribution/active-configuration.js';
import {type RatingsTracker} from '../ratings/ratings-tracker.js';
import {type BillStore} from './bills/bill-store.js';
import {type BillCopyStore} from './bills/bill-copy-store.js';
import {type ClaimClient} from './claim-client.js';
import {type InProgressCounts} from './in-progress-counts.js';
import {type RequestExecution} from './lifecycle/request-execution.js';
import {type RequestCounter} from './request-counter.js';
import {type ServerConnections} from './server-connections.js';
import {type AdmissionPools} from './traffic/admission-pools.js';
import {type OverdueAttempts} from './traffic/overdue-attempts.js';
import {type ServerActivity} from './traffic/server-activity.js';
import {type ServerSelector} from './traffic/server-selector.js';

/** The shared state of the handlers of callers' requests. */
export type EntryContext = DaemonBase & {
	readonly servers: ServerTable;
	/** The bills of this instance. */
	readonly bills: BillStore;
	/** The copies of bills that this instance holds for others. */
	readonly billCopies: BillCopyStore;
	readonly claims: ClaimClient;
	readonly requests: RequestCounter;
	/** The requests in progress. */
	readonly executions: Set<RequestExecution>;
	/** The number of requests in progress for each version. */
	readonly inProgress: InProgressCounts;
	/** Limits requests to the capacity of the servers. */
	readonly admission: AdmissionPools;
	/** The links to backend servers, and the daemons that can stand in for them. */
	readonly connections: ServerConnections;
	/** Selects servers and ejects failing ones. */
	readonly serverSelector: ServerSelector;
	/** When backend servers sent data, and which are silent. */
	readonly activity: ServerActivity;
	/** Decides on attempts whose answers have not begun. */
	readonly overdue: OverdueAttempts;
	/** The durations of the stages of recent attempts. */
	readonly history: StageHistory;
	/** The routing decisions of recent requests. */
	readonly decisions: DecisionHistory;
	/** The configuration in force; undefined until the first one is activated. */
	readonly active: () => ActiveConfiguration | undefined;
	/** Quality estimates, locally stopped versions, and observed outcomes of versions. */
	readonly ratings: RatingsTracker;
};
