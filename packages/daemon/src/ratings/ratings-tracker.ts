import {
	type EffectiveConfiguration, type InstanceId, versionKey, type WorkspaceId,
} from '@valehitch/core';
import {
	type BadVersionAlarm, BadVersionMonitor, type BadVersionSettingsByMeasure, type EvidenceReport, LocalStops, type VersionTarget,
	type Estimate, type Prior, QualityStore, qualityClass, type QualityKey, type QualityMeasure, type QualityObservation,
} from '@valehitch/policy';
import {type RatingCounts, recordRatings} from './record-ratings.js';
import {type RatingSummary, type RatingSummaryReply} from './rating-summary.js';
import {type Rating} from './rating.js';
import {ServedRequestCache, type ServedRequest} from './served-request-cache.js';
import {SummaryQueue} from './summary-queue.js';

/** The dependencies of a `RatingsTracker`. */
export type RatingsTrackerOptions = {
	readonly instance: InstanceId;
	/** When the instance started, as Unix time in milliseconds. */
	readonly startedAt: number;
	/** Returns the current Unix time in milliseconds. */
	readonly now: () => number;
	/** Returns the newest configuration on this instance. */
	readonly configuration: () => EffectiveConfiguration;
	/** Called with each version that this instance stops. */
	readonly onAlarm: (alarm: BadVersionAlarm) => void;
	/** The maximum number of served requests that are kept until their rating arrives; 10,000 by default. */
	readonly remembered?: number;
	/** The settings of the bad-version tests; `defaultBadVersionSettings` by default. */
	readonly badVersions?: BadVersionSettingsByMeasure;
};

/** One attempt or answer of a version. */
export type VersionEvent = VersionTarget & {
	readonly workspace: WorkspaceId;
	/** The name of the policy rule that applied to the request. */
	readonly rule: string;
	/** When the request ran, as Unix time in milliseconds. */
	readonly ranAt: number;
};

const defaultServedRequestCapacity = 10_000;
const queueCapacity = 4096;
const entriesPerSummary = 6;
const reportsPerSummary = 3;
/** Reports on suspected versions are sent in addition, without waiting in the queue. */
const suspectsPerSummary = 2;

/**
Tracks the ratings and outcomes of requests on one instance: estimates qualities, tests versions, stops bad ones locally, and summarizes its observations for the leader.

@example
```ts
const ratings = new RatingsTracker({instance, startedAt, now, configuration, onAlarm});
ratings.recordRatings(received);
chooseVersion(request, {configuration, rule, isServed, quality: ratings.quality, isStoppedHere: ratings.isStoppedHere});
```
*/
export class RatingsTracker {
	readonly #options: RatingsTrackerOptions;
	readonly #qualityStore: QualityStore;
	readonly #monitor: BadVersionMonitor;
	readonly #stops = new LocalStops();
	readonly #servedRequests: ServedRequestCache;
	readonly #qualityKeys = new SummaryQueue<QualityKey>({capacity: queueCapacity});
	/** The number of observations in the last report on each version and measure. */
	readonly #reportedCounts = new Map<string, number>();
	readonly #reportQueue = new SummaryQueue<string>({capacity: queueCapacity});

	constructor(options: RatingsTrackerOptions) {
		const {instance, startedAt, remembered = defaultServedRequestCapacity, badVersions} = options;
		this.#options = options;
		this.#qualityStore = new QualityStore({instance, startedAt});
		this.#monitor = new BadVersionMonitor({
			instance, startedAt, qualityStore: this.#qualityStore, ...(badVersions !== undefined && {settings: badVersions}),
		});
		this.#servedRequests = new ServedRequestCache(remembered);
	}

	/** The versions that this instance has stopped locally. */
	get stops(): LocalStops {
		return this.#stops;
	}

	/** Estimates a quality, failure share or escalation share; passed to `chooseVersion`. */
	readonly quality = (key: QualityKey, prior: Prior): Estimate => {
		this.#qualityKeys.addIfAbsent(formatQualityKey(key), key);
		return this.#qualityStore.estimate(key, {prior, now: this.#options.now()});
	};

	/** Returns whether this instance has stopped a version locally; passed to `chooseVersion` and `checkDispatch`. */
	readonly isStoppedHere = (target: VersionTarget): boolean => this.#stops.isStopped(target);

	/**
	Stores a completely answered request until its rating arrives.

	@param request The request and the version that answered it.
	*/
	addServedRequest(request: ServedRequest): void {
		this.#servedRequests.add(request);
	}

	/**
	Records whether the engine answered an attempt or reported a failure. Do not call this for a lost connection, which is no evidence about the version.

	@param event The version and the request.
	@param failed Whether the attempt failed.
	*/
	recordOutcome(event: VersionEvent, failed: boolean): void {
		this.#observe(toObservation(event, {measure: 'failure', value: Number(failed)}));
	}

	/**
	Records whether a cascade escalated after the answer of its first version.

	@param event The first version and the request.
	@param escalated Whether it escalated.
	*/
	recordEscalation(event: VersionEvent, escalated: boolean): void {
		this.#observe(toObservation(event, {measure: 'escalation', value: Number(escalated)}));
	}

	/**
	Records received ratings.

	@param ratings The ratings.
	@returns How many were accepted and ignored.
	*/
	recordRatings(ratings: readonly Rating[]): RatingCounts {
		return recordRatings(ratings, {
			servedRequests: this.#servedRequests,
			configuration: this.#options.configuration(),
			observe: observation => {
				this.#observe(observation);
			},
		});
	}

	/**
	Creates the next summary for the leader, and releases the local stops that have ended. Call this at most once a second.

	@returns The summary, or undefined if there is nothing to report or request.
	*/
	summarize(): RatingSummary | undefined {
		const configuration = this.#options.configuration();
		for (const target of this.#stops.releaseEnded({configuration, now: this.#options.now()})) {
			this.#monitor.reset(target);
		}

		this.#monitor.retain(configuration);

		const keys = this.#qualityKeys.next(entriesPerSummary);
		const digest = this.#qualityStore.digest(keys);
		const included = new Set(digest.entries.map(entry => formatQualityKey(entry)));
		const selected = new Set(this.#reportQueue.next(reportsPerSummary));
		for (const suspect of this.#monitor.suspects().slice(0, suspectsPerSummary)) {
			selected.add(formatReportKey(suspect));
		}

		const evidence = this.#monitor.reports().filter(report => selected.has(formatReportKey(report)));
		this.#markReported(evidence);
		return keys.length === 0 && evidence.length === 0
			? undefined
			: {...digest, asked: keys.filter(key => !included.has(formatQualityKey(key))), evidence};
	}

	/**
	Creates a summary of only the evidence on suspected versions that has grown since it was last reported. Call this between the regular summaries.

	@returns The summary, or undefined if there is no new evidence on suspected versions.
	*/
	summarizeSuspects(): RatingSummary | undefined {
		const suspects = new Set(this.#monitor.suspects().slice(0, suspectsPerSummary).map(suspect => formatReportKey(suspect)));
		const evidence = this.#monitor.reports().filter(report => suspects.has(formatReportKey(report)) && this.#reportedCounts.get(formatReportKey(report)) !== report.count);
		this.#markReported(evidence);
		return evidence.length === 0 ? undefined : {...this.#qualityStore.digest([]), asked: [], evidence};
	}

	/**
	Applies the leader's reply to a summary.

	@param reply The sums over the other instances.
	*/
	applyReply({others}: RatingSummaryReply): void {
		this.#qualityStore.replaceAggregate(others, this.#options.now());
	}

	#markReported(evidence: readonly EvidenceReport[]): void {
		for (const report of evidence) {
			this.#reportedCounts.set(formatReportKey(report), report.count);
		}
	}

	#observe(observation: QualityObservation): void {
		const {configuration, now, onAlarm} = this.#options;
		const time = now();
		const ranAt = Math.min(observation.ranAt, time);
		this.#qualityKeys.markChanged(formatQualityKey(observation), observation);
		const alarm = this.#monitor.observe({...observation, ranAt}, {configuration: configuration(), now: time});
		if (observation.measure !== 'escalation') {
			const measure = observation.measure === 'failure' ? 'failures' : 'ratings';
			const reportKey = formatReportKey({...observation, measure});
			this.#reportQueue.markChanged(reportKey, reportKey);
		}

		if (alarm !== undefined) {
			this.#stops.stop(alarm, time);
			onAlarm(alarm);
		}
	}
}

type Measurement = {
	readonly measure: QualityMeasure;
	readonly value: number;
};

function toObservation({model, version, workspace, rule, ranAt}: VersionEvent, measurement: Measurement): QualityObservation {
	return {
		model, version, qualityClass: qualityClass(workspace, rule), ranAt, ...measurement,
	};
}

function formatQualityKey({model, version, qualityClass: name, measure}: QualityKey): string {
	return `${name}|${versionKey(model, version)}|${measure}`;
}

function formatReportKey({model, version, measure}: Pick<EvidenceReport, 'model' | 'version' | 'measure'>): string {
	return `${versionKey(model, version)}|${measure}`;
}
