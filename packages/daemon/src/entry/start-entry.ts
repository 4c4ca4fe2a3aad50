import {setTimeout as delay} from 'node:timers/promises';
import {type ClaimResponse} from '@valehitch/control';
import {type Failure, failure} from '@valehitch/core';
import {DecisionHistory, StageHistory} from '@valehitch/routing';
import {setTimeoutAfterPoll, type TunnelTarget} from '@valehitch/transport';
import {type Either, Left, Right} from 'purify-ts';
import {match} from 'ts-pattern';
import {type ControlClient} from '../control/control-client.js';
import {type DaemonBase} from '../daemon-base.js';
import {type DistributionPart} from '../distribution/start-distribution.js';
import {type RatingsTracker} from '../ratings/ratings-tracker.js';
import {BillStore} from './bills/bill-store.js';
import {BillCopyStore} from './bills/bill-copy-store.js';
import {startRunHeartbeat} from './bills/start-run-heartbeat.js';
import {LedgerOutbox} from './bills/ledger-outbox.js';
import {type RequestExecution} from './lifecycle/request-execution.js';
import {startBillMaintenance} from './bills/start-bill-maintenance.js';
import {type ClaimCommand, ClaimClient} from './claim-client.js';
import {type EntryContext} from './entry-context.js';
import {InProgressCounts} from './in-progress-counts.js';
import {type EntryMessage, type HoldBillsReply} from './messages.js';
import {RequestCounter} from './request-counter.js';
import {ServerConnections} from './server-connections.js';
import {AdmissionPools} from './traffic/admission-pools.js';
import {OverdueAttempts} from './traffic/overdue-attempts.js';
import {ServerActivity} from './traffic/server-activity.js';
import {ServerSelector} from './traffic/server-selector.js';

/** The other components of the daemon that the entry component uses. */
export type StartEntryOptions = {
	readonly control: ControlClient;
	readonly distribution: DistributionPart;
	readonly ratings: RatingsTracker;
};

/** The component of the daemon that serves callers. */
export type EntryPart = {
	readonly context: EntryContext;
	/** Handles a message from another daemon and returns the reply. */
	readonly answer: (message: EntryMessage) => Promise<unknown>;
	/** Checks whether another daemon may reach an address through this one. */
	readonly mayRelay: (target: TunnelTarget) => boolean;
	/** Records whether a connection to an address opened that was made for another daemon; returns whether its server is to blame for a failure. */
	readonly recordTunnelTarget: (target: TunnelTarget, isOpen: boolean) => boolean;
	/** Refuses new requests, completes those in progress and hands over the bills; what has no answer at a time, in milliseconds of the monotonic clock, is given one then. */
	readonly stop: (answersDueAt: number) => Promise<void>;
	/** Stops all retries and timers. Bills that were not handed over remain as copies on their holders. */
	readonly close: () => void;
};

const holdTimeoutMilliseconds = 750;
const maximumCopies = 40_000;
const lostAfterMilliseconds = 4000;
const handOverPollMilliseconds = 50;
const ledgerLingerMilliseconds = 500;
const admissionMilliseconds = 250;

/**
Starts the component of the daemon that serves callers.

@param base The dependencies that all components share.
@param options The components that the entry component uses.
@returns The component.
@example
```ts
const entry = startEntry(base, {control: control.client, distribution, ratings});
```
*/
export function startEntry(base: DaemonBase, options: StartEntryOptions): EntryPart {
	const {control, distribution} = options;
	const outbox = new LedgerOutbox({propose: async command => control.propose(command), wait});
	const startedAt = base.clock.now().getTime();
	const bills = createBillStore(base, {...options, outbox, startedAt});
	const stopHeartbeat = startRunHeartbeat({instance: base.settings.instance, startedAt}, {
		retentionMilliseconds: base.settings.controlLimits.originMilliseconds,
		report: async running => control.propose({type: 'record-bills', bills: [], running}),
		onFailure(failed) {
			base.log.info({failure: failed}, 'Could not report this run to the ledger; trying again at the next interval');
		},
	});
	const billCopies = createBillCopyStore(base, bills);
	const claims = createClaimClient(base, control);
	claims.initialize();
	distribution.onInstanceLost(({instance}) => {
		void claims.markLost(instance);
	});
	const connections = new ServerConnections({...base, servers: distribution.servers, members: distribution.members});
	const requests = new RequestCounter();
	const executions = new Set<RequestExecution>();
	const decisions = new DecisionHistory();
	const evacuatedZones = () => new Set(distribution.effective().document.evacuatedZones);
	const activity = new ServerActivity();
	const serverSelector = new ServerSelector({
		...base, servers: distribution.servers, zone: base.settings.zone, decisions, evacuatedZones, activity,
	});
	const overdue = new OverdueAttempts({
		clock: base.clock,
		activity,
		isReachable: async server => connections.isReachable(server),
		hasOther: (target, server) => serverSelector.hasOther(target, server),
	});
	const admission = new AdmissionPools({
		...base, servers: distribution.servers, members: distribution.members, evacuatedZones,
	});
	const admissionTimer = setInterval(() => {
		admission.refresh();
	}, admissionMilliseconds);
	const closing = new AbortController();
	const maintenance = startBillMaintenance({
		bills, held: billCopies, members: distribution.members, network: base.network,
	});
	return {
		context: {
			...base,
			servers: distribution.servers,
			active: distribution.active,
			ratings: options.ratings,
			admission,
			connections,
			serverSelector,
			activity,
			overdue,
			history: new StageHistory(),
			decisions,
			requests,
			inProgress: new InProgressCounts(),
			executions,
			bills,
			billCopies,
			claims,
		},
		answer: async message => match(message)
			.with({type: 'hold-bills'}, hold => billCopies.hold(hold))
			.with({type: 'owned-bills'}, question => bills.answerOwned(question))
			.with({type: 'relay-stopping'}, ({relay}) => {
				connections.relays.retire(relay);
			})
			.with({type: 'explain'}, ({request}) => decisions.get(request))
			.exhaustive(),
		mayRelay: target => connections.mayRelay(target),
		recordTunnelTarget: (target, isOpen) => connections.recordTunnelTarget(target, isOpen),
		async stop(answersDueAt) {
			connections.beginStop();
			const idle = requests.stop(answersDueAt);
			for (const execution of executions) {
				execution.handleEvent({type: 'instance-stopping', answersDueAt});
			}

			const stopTimer = setTimeoutAfterPoll(Math.max(0, answersDueAt - base.clock.monotonic()), () => {
				for (const execution of executions) {
					execution.handleEvent({type: 'answers-due'});
				}
			});
			await idle;
			stopTimer();
			while (!closing.signal.aborted && base.network.tunnelCount > 0) {
				await wait(handOverPollMilliseconds);
			}

			billCopies.stop();
			// Keeps the ledger available for a moment, since other instances may be about to send bills to it.
			await wait(base.settings.roles.includes('control') ? ledgerLingerMilliseconds : 0);
			while (!closing.signal.aborted && bills.size + claims.size + billCopies.size + outbox.size > 0) {
				bills.renew();
				await wait(handOverPollMilliseconds);
			}
		},
		close() {
			closing.abort();
			maintenance.stop();
			clearInterval(admissionTimer);
			stopHeartbeat();
			outbox.close();
			claims.close();
			connections.close();
		},
	};
}

// A pending delay does not keep the process alive.
async function wait(milliseconds: number): Promise<void> {
	await delay(milliseconds, undefined, {ref: false});
}

type BillStoreParts = Pick<StartEntryOptions, 'distribution'> & {
	readonly outbox: LedgerOutbox;
	readonly startedAt: number;
};

function createBillStore({self, clock, network, newId}: DaemonBase, {distribution, outbox, startedAt}: BillStoreParts): BillStore {
	return new BillStore({
		self,
		runId: newId(),
		startedAt,
		clock,
		outbox,
		members: distribution.members,
		async request(to, message) {
			const reply = await network.request(to, message, {timeoutMilliseconds: holdTimeoutMilliseconds});
			return reply.map(body => body as HoldBillsReply | undefined ?? {accepted: false, count: 0});
		},
	});
}

function createBillCopyStore({clock, timeline}: DaemonBase, bills: BillStore): BillCopyStore {
	return new BillCopyStore({
		clock,
		maximumCopies,
		lostAfterMilliseconds,
		onRecovered(bill) {
			timeline.record('bill-recovered', {requestId: bill.request, workspace: bill.workspace, details: {owner: bill.instance, outcome: bill.outcome}});
			bills.adopt(bill);
		},
	});
}

function createClaimClient({clock, log, settings: {instance}}: DaemonBase, control: ControlClient): ClaimClient {
	return new ClaimClient({
		instance,
		clock,
		wait,
		markLost: async lost => control.propose({type: 'instance-lost', instance: lost, at: clock.now().getTime()}),
		async propose(command: ClaimCommand): Promise<Either<Failure, ClaimResponse>> {
			const answer = await control.propose(command);
			return answer.chain(reply => 'claim' in reply
				? Right(reply)
				: Left(failure('internal', 'The reply of the control role to a claim command has no claim')));
		},
		onRefused(claim, failed) {
			log.error({requestId: claim.request, workspace: claim.workspace, failure: failed}, 'The control role refused the settlement of a claim');
		},
	});
}
