import {Apply} from './commands/apply.js';
import {Beliefs} from './commands/beliefs.js';
import {Check} from './commands/check.js';
import {Diff} from './commands/diff.js';
import {Drain} from './commands/drain.js';
import {Evacuate} from './commands/evacuate.js';
import {Explain} from './commands/explain.js';
import {Get} from './commands/get.js';
import {Ledger} from './commands/ledger.js';
import {Losses} from './commands/losses.js';
import {Profile} from './commands/profile.js';
import {Rollout} from './commands/rollout.js';
import {Status} from './commands/status.js';
import {Timeline} from './commands/timeline.js';
import {Trace} from './commands/trace.js';
import {Why} from './commands/why.js';
import {Withdraw} from './commands/withdraw.js';

/** The commands of `valehitch` by name. */
export const commands: {
	readonly apply: typeof Apply;
	readonly beliefs: typeof Beliefs;
	readonly check: typeof Check;
	readonly diff: typeof Diff;
	readonly drain: typeof Drain;
	readonly evacuate: typeof Evacuate;
	readonly explain: typeof Explain;
	readonly get: typeof Get;
	readonly ledger: typeof Ledger;
	readonly losses: typeof Losses;
	readonly profile: typeof Profile;
	readonly rollout: typeof Rollout;
	readonly status: typeof Status;
	readonly timeline: typeof Timeline;
	readonly trace: typeof Trace;
	readonly why: typeof Why;
	readonly withdraw: typeof Withdraw;
} = {
	apply: Apply,
	beliefs: Beliefs,
	check: Check,
	diff: Diff,
	drain: Drain,
	evacuate: Evacuate,
	explain: Explain,
	get: Get,
	ledger: Ledger,
	losses: Losses,
	profile: Profile,
	rollout: Rollout,
	status: Status,
	timeline: Timeline,
	trace: Trace,
	why: Why,
	withdraw: Withdraw,
};
