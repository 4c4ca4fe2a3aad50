import {type WorkspaceId} from '@valehitch/core';
import {type ServerTable} from '@valehitch/membership';
import {type RequestEvent, type RequestPlan} from '@valehitch/routing';
import {type DaemonBase} from '../daemon-base.js';
import {type ActiveConfiguration} from '../distribution/active-configuration.js';
import {type RatingsPart} from '../ratings/ratings-part.js';
import {type BillKeeper} from './bills/bill-keeper.js';
import {type HeldBills} from './bills/held-bills.js';
import {type ClaimKeeper} from './claim-keeper.js';
import {type InProgress} from './in-progress.js';
import {type RequestRun} from './life/request-run.js';
import {type RequestCounter} from './request-counter.js';

/** A request that asks to be admitted. */
export type AdmissionRequest = {
	readonly workspace: WorkspaceId;
	readonly plan: RequestPlan;
};

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
	/** Admits a request when its turn comes, or refuses it. */
	readonly admit: (request: AdmissionRequest) => Promise<RequestEvent>;
	/** The configuration in force; undefined before the first. */
	readonly active: () => ActiveConfiguration | undefined;
	/** Estimates, local stops and what is seen of versions. */
	readonly ratings: RatingsPart;
};
