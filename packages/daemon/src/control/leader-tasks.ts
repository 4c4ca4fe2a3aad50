import {clockReadIntervalMilliseconds, type ControlLimits} from '@valehitch/control';
import {type DaemonBase} from '../daemon-base.js';
import {type DistributionPart} from '../distribution/start-distribution.js';
import {type RatingSummary, type RatingSummaryReply} from '../ratings/rating-summary.js';
import {httpEngineClient} from './orders/engine-client.js';
import {OrderExecutor} from './orders/order-executor.js';
import {LeaderEvidence} from './rollouts/leader-evidence.js';
import {RolloutController} from './rollouts/rollout-controller.js';
import {type ControlPart} from './start-control.js';

/** The dependencies of the leader tasks. */
export type LeaderTasksOptions = {
	readonly control: ControlPart;
	readonly distribution: Pick<DistributionPart, 'servers'>;
};

/** The running tasks; they have no effect while this instance is not the leader. */
export type LeaderTasks = {
	/** Merges a summary of ratings and evidence; returns undefined if this instance is not the leader. */
	readonly mergeSummary: (summary: RatingSummary) => RatingSummaryReply | undefined;
	/** Sends the summary of this instance to the leader and returns the reply. */
	readonly exchange: (summary: RatingSummary) => Promise<RatingSummaryReply | undefined>;
	readonly stop: () => void;
};

const orderTickMilliseconds = 100;
const rolloutTickMilliseconds = 500;
const limitsCheckMilliseconds = 500;
const pruneMilliseconds = 60_000;

/**
Starts the periodic tasks of the leader of the control replicas: it executes orders, advances rollouts, applies the limits from its settings, and expires old state.

@param base The dependencies that all components share.
@param options The control component and the known backend servers.
@returns The running tasks.
@example
```ts
const tasks = startLeaderTasks(base, {control, distribution});
```
*/
export function startLeaderTasks(base: DaemonBase, {control, distribution}: LeaderTasksOptions): LeaderTasks {
	const {clock, timeline, settings, network, log} = base;
	const run = (act: () => Promise<void>) => {
		act().catch((error: unknown) => {
			log.error({err: error}, 'A leader task failed');
		});
	};

	const evidence = new LeaderEvidence({
		base,
		control,
		onAlarm() {
			run(async () => rollouts.tick());
		},
	});
	const executor = new OrderExecutor({
		clock,
		timeline,
		control,
		engineClient: httpEngineClient,
		findEngine: server => distribution.servers.available().find(({announcement}) => announcement.server === server && announcement.kind === 'engine')?.announcement,
	});
	const rollouts = new RolloutController({
		clock, timeline, control, evidence: (target, progress) => evidence.forVersion(target, progress),
	});
	const every = (milliseconds: number, act: () => Promise<void>) => setInterval(() => {
		run(act);
	}, milliseconds);
	const timers = [
		every(orderTickMilliseconds, async () => {
			executor.tick();
		}),
		every(rolloutTickMilliseconds, async () => rollouts.tick()),
		every(limitsCheckMilliseconds, async () => {
			if (control.isLeader() && !hasLimits(control.state()?.limits, settings.controlLimits)) {
				await control.propose({type: 'set-limits', limits: settings.controlLimits});
			}
		}),
		every(pruneMilliseconds, async () => {
			evidence.prune();
		}),
		every(clockReadIntervalMilliseconds, async () => {
			if (control.isLeader()) {
				await control.propose({type: 'expire', at: clock.now().getTime()});
			}
		}),
	];
	return {
		mergeSummary: summary => evidence.mergeSummary(summary),
		async exchange(summary) {
			const leader = control.leader() ?? control.client.leader;
			const address = settings.control.find(({instance}) => instance === leader) ?? settings.control[0];
			if (address === undefined || address.instance === settings.instance) {
				return evidence.mergeSummary(summary);
			}

			const reply = await network.request(address, {scope: 'ratings', type: 'report-evidence', summary});
			return reply.map(body => body as RatingSummaryReply | undefined).orDefault(undefined);
		},
		stop() {
			for (const timer of timers) {
				clearInterval(timer);
			}
		},
	};
}

function hasLimits(current: ControlLimits | undefined, expected: ControlLimits): boolean {
	const names = Object.keys(expected) as Array<keyof ControlLimits>;
	return current !== undefined && names.every(name => current[name] === expected[name]);
}
