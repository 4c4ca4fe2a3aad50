import {type EffectiveConfiguration} from '@valehitch/core';
import {type DaemonBase} from '../daemon-base.js';
import {badVersionSettingsOf} from './bad-version-settings-of.js';
import {type IntakeCount} from './rating-intake.js';
import {type RatingSummary, type RatingSummaryReply} from './rating-summary.js';
import {type Rating} from './rating.js';
import {RatingsPart} from './ratings-part.js';

/** What the ratings of a daemon are built on. */
export type StartRatingsOptions = {
	/** The newest configuration known here. */
	readonly configuration: () => EffectiveConfiguration;
	/** Hands a summary to the leader of the control replicas (`EvidenceKeeper.take` there) and gives its reply, or undefined where there is none. */
	readonly exchange: (summary: RatingSummary) => Promise<RatingSummaryReply | undefined>;
};

/** The running ratings of a daemon. */
export type RunningRatings = {
	readonly part: RatingsPart;
	/** Takes the ratings of a post. */
	readonly take: (ratings: readonly Rating[]) => IntakeCount;
	readonly stop: () => void;
};

const summaryMilliseconds = 1000;
/** What looks bad is reported between two summaries as well. */
const suspectMilliseconds = 500;
const ticksPerSummary = summaryMilliseconds / suspectMilliseconds;

/**
Starts the ratings of a daemon; a summary goes out at most every second, and between two of them what looks bad; the next one only after the reply.

@param base What every part works with.
@param options Where the configuration comes from and where summaries go.
@returns The running ratings.
@example
```ts
const ratings = startRatings(base, {configuration: distribution.effective, exchange});
```
*/
export function startRatings(base: DaemonBase, {configuration, exchange}: StartRatingsOptions): RunningRatings {
	const {settings, clock, timeline, metrics, log} = base;
	const part = new RatingsPart({
		instance: settings.instance,
		startedAt: clock.now().getTime(),
		now: () => clock.now().getTime(),
		configuration,
		badVersions: badVersionSettingsOf(settings),
		onAlarm({model, version, measure, count, reason}) {
			metrics.increment('version.stopped_here', {model, version, measure});
			log.warn({model, version, measure}, reason);
			timeline.record('version-stopped', {
				model, version, details: {
					measure, count, reason, scope: 'instance',
				},
			});
		},
	});

	const totals: IntakeCount = {accepted: 0, doubled: 0, unknown: 0};
	let isExchanging = false;
	const exchangeNext = (next: () => RatingSummary | undefined) => {
		const summary = isExchanging ? undefined : next();
		if (summary !== undefined) {
			isExchanging = true;
			void send(summary);
		}
	};

	let ticks = 0;
	const timer = setInterval(() => {
		ticks += 1;
		const isWhole = ticks % ticksPerSummary === 0;
		exchangeNext(() => isWhole ? part.summarize() : part.summarizeSuspects());
	}, suspectMilliseconds);
	timer.unref();

	async function send(summary: RatingSummary): Promise<void> {
		try {
			const reply = await exchange(summary);
			if (reply !== undefined) {
				part.takeReply(reply);
			}
		} catch (error) {
			log.warn({err: error}, 'A summary of ratings could not be handed on');
		} finally {
			isExchanging = false;
		}
	}

	return {
		part,
		take(ratings) {
			const count = part.take(ratings);
			totals.accepted += count.accepted;
			totals.doubled += count.doubled;
			totals.unknown += count.unknown;
			for (const [name, total] of Object.entries(totals)) {
				metrics.gauge(`ratings.${name}`, total);
			}

			return count;
		},
		stop() {
			clearInterval(timer);
		},
	};
}
