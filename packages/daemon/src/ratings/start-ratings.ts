import {type EffectiveConfiguration} from '@valehitch/core';
import {type DaemonBase} from '../daemon-base.js';
import {badVersionSettingsOf} from './bad-version-settings-of.js';
import {type RatingCounts} from './record-ratings.js';
import {type RatingSummary, type RatingSummaryReply} from './rating-summary.js';
import {type Rating} from './rating.js';
import {RatingsTracker} from './ratings-tracker.js';

/** The dependencies of the ratings component. */
export type StartRatingsOptions = {
	/** Returns the newest configuration on this instance. */
	readonly configuration: () => EffectiveConfiguration;
	/** Sends a summary to the leader of the control replicas, which passes it to `EvidenceCollector.mergeSummary`. Returns the reply, or undefined if there is none. */
	readonly exchange: (summary: RatingSummary) => Promise<RatingSummaryReply | undefined>;
};

/** The running ratings component. */
export type RunningRatings = {
	readonly tracker: RatingsTracker;
	/** Records received ratings and updates the metrics. */
	readonly recordRatings: (ratings: readonly Rating[]) => RatingCounts;
	readonly stop: () => void;
};

const summaryMilliseconds = 1000;
/** Evidence on suspected versions is also reported between two regular summaries. */
const suspectMilliseconds = 500;
const ticksPerSummary = summaryMilliseconds / suspectMilliseconds;

/**
Starts the ratings component. It sends a summary at most every second and, between two of them, new evidence on suspected versions. While a reply is outstanding, nothing is sent.

@param base The dependencies that all components share.
@param options The configuration and the exchange with the leader.
@returns The running component.
@example
```ts
const ratings = startRatings(base, {configuration: distribution.effective, exchange});
```
*/
export function startRatings(base: DaemonBase, {configuration, exchange}: StartRatingsOptions): RunningRatings {
	const {settings, clock, timeline, metrics, log} = base;
	const tracker = new RatingsTracker({
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

	const totals: RatingCounts = {accepted: 0, doubled: 0, unknown: 0};
	let isExchanging = false;
	const exchangeSummary = (createSummary: () => RatingSummary | undefined) => {
		const summary = isExchanging ? undefined : createSummary();
		if (summary !== undefined) {
			isExchanging = true;
			void send(summary);
		}
	};

	let ticks = 0;
	const timer = setInterval(() => {
		ticks += 1;
		const isRegular = ticks % ticksPerSummary === 0;
		exchangeSummary(() => isRegular ? tracker.summarize() : tracker.summarizeSuspects());
	}, suspectMilliseconds);
	timer.unref();

	async function send(summary: RatingSummary): Promise<void> {
		try {
			const reply = await exchange(summary);
			if (reply !== undefined) {
				tracker.applyReply(reply);
			}
		} catch (error) {
			log.warn({err: error}, 'Failed to send a rating summary to the leader');
		} finally {
			isExchanging = false;
		}
	}

	return {
		tracker,
		recordRatings(ratings) {
			const counts = tracker.recordRatings(ratings);
			totals.accepted += counts.accepted;
			totals.doubled += counts.doubled;
			totals.unknown += counts.unknown;
			for (const [name, total] of Object.entries(totals)) {
				metrics.gauge(`ratings.${name}`, total);
			}

			return counts;
		},
		stop() {
			clearInterval(timer);
		},
	};
}
