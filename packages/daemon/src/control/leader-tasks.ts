import {clockReadingMilliseconds, type ControlLimits} from '@valehitch/control';
import {type DaemonBase} from '../daemon-base.js';
import {type DistributionPart} from '../distribution/start-distribution.js';
import {type RatingSummary, type RatingSummaryReply} from '../ratings/rating-summary.js';
import {httpEngineCalls} from './orders/engine-calls.js';
import {OrderExecutor} from './orders/order-executor.js';
import {LeaderEvidence} from './rollouts/leader-evidence.js';
import {RolloutController} from './rollouts/rollout-controller.js';
import {type ControlPart} from './start-control.js';

/** What the tasks of the leader need. */
export type LeaderTasksOptions = {
	readonly control: ControlPart;
	readonly distribution: Pick<DistributionPart, 'servers'>;
};

/** The running tasks; they do nothing where this instance does not lead. */
export type LeaderTasks = {
	/** Takes a summary of ratings and evidence; undefined where this instance does not lead. */
	readonly takeSummary: (summary: RatingSummary) => RatingSummaryReply | undefined;
	/** Hands this instance's own summary to the leader. */
	readonly exchange: (summary: RatingSummary) => Promise<RatingSummaryReply | undefined>;
	readonly stop: () => void;
};

const orderTickMilliseconds = 100;
const rolloutTickMilliseconds = 500;
const limitsMilliseconds = 500;
const tidyMilliseconds = 60_000;

/**
Starts what the leader of the control replicas does besides the log: orders, roll-outs, and the bounds and the expiry of what is kept.

@param base What every part works with.
@param options The control part and where engines are found.
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
			log.error({err: error}, 'A task of the leader failed');
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
		calls: httpEngineCalls,
		engineOf: server => distribution.servers.current().find(({announcement}) => announcement.server === server && announcement.kind === 'engine')?.announcement,
	});
	const rollouts = new RolloutController({
		clock, timeline, control, evidence: (target, progress) => evidence.on(target, progress),
	});
	const every = (milliseconds: number, act: () => Promise<void>) => setInterval(() => {
		run(act);
	}, milliseconds);
	const timers = [
		every(orderTickMilliseconds, async () => {
			executor.tick();
		}),
		every(rolloutTickMilliseconds, async () => rollouts.tick()),
		every(limitsMilliseconds, async () => {
			if (control.isLeader() && !isSame(control.state()?.limits, settings.controlLimits)) {
				await control.propose({type: 'set-limits', limits: settings.controlLimits});
			}
		}),
		every(tidyMilliseconds, async () => {
			evidence.tidy();
		}),
		every(clockReadingMilliseconds, async () => {
			if (control.isLeader()) {
				await control.propose({type: 'expire', at: clock.now().getTime()});
			}
		}),
	];
	return {
		takeSummary: summary => evidence.take(summary),
		async exchange(summary) {
			const leader = control.leader() ?? control.client.leader;
			const address = settings.control.find(({instance}) => instance === leader) ?? settings.control[0];
			if (address === undefined || address.instance === settings.instance) {
				return evidence.take(summary);
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

function isSame(found: ControlLimits | undefined, wanted: ControlLimits): boolean {
	const names = Object.keys(wanted) as Array<keyof ControlLimits>;
	return found !== undefined && names.every(name => found[name] === wanted[name]);
}
