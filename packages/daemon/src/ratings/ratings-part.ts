import {
	type EffectiveConfiguration, type InstanceId, versionKey, type WorkspaceId,
} from '@valehitch/core';
import {
	type BadVersionAlarm, BadVersionMonitor, type BadVersionSettingsByMeasure, type EvidenceReport, LocalStops, type VersionTarget,
	type Estimate, type Prior, QualityBook, qualityClass, type QualityKey, type QualityMeasure, type QualityObservation,
} from '@valehitch/policy';
import {type IntakeCount, takeRatings} from './rating-intake.js';
import {type RatingSummary, type RatingSummaryReply} from './rating-summary.js';
import {type Rating} from './rating.js';
import {RequestMemory, type ServedRequest} from './request-memory.js';
import {SummaryQueue} from './summary-queue.js';

/** What the ratings of a daemon work with. */
export type RatingsOptions = {
	readonly instance: InstanceId;
	/** When the instance started, in milliseconds since 1970. */
	readonly startedAt: number;
	/** Milliseconds since 1970. */
	readonly now: () => number;
	/** The newest configuration known here. */
	readonly configuration: () => EffectiveConfiguration;
	/** Told of each version that this instance stops. */
	readonly onAlarm: (alarm: BadVersionAlarm) => void;
	/** Requests remembered until their rating comes; 10,000 unless given. */
	readonly remembered?: number;
	/** When a version counts as bad; `defaultBadVersionSettings` unless given. */
	readonly badVersions?: BadVersionSettingsByMeasure;
};

/** What is seen of one attempt or answer of a version. */
export type VersionEvent = VersionTarget & {
	readonly workspace: WorkspaceId;
	/** The name of the rule that covered the request. */
	readonly rule: string;
	/** When the request ran, in milliseconds since 1970. */
	readonly ranAt: number;
};

const defaultRemembered = 10_000;
const mostKeys = 4096;
const entriesPerSummary = 6;
const reportsPerSummary = 3;
/** Reports on what looks bad do not wait for their turn. */
const suspectsPerSummary = 2;

/**
The ratings of one daemon: takes them in, estimates qualities, tests versions and stops bad ones here, and sums up for the others.

@example
```ts
const ratings = new RatingsPart({instance, startedAt, now, configuration, onAlarm});
ratings.take(posted);
chooseVersion(request, {configuration, rule, isServed, quality: ratings.quality, isStoppedHere: ratings.isStoppedHere});
```
*/
export class RatingsPart {
	readonly #options: RatingsOptions;
	readonly #book: QualityBook;
	readonly #monitor: BadVersionMonitor;
	readonly #stops = new LocalStops();
	readonly #memory: RequestMemory;
	readonly #keys = new SummaryQueue<QualityKey>({capacity: mostKeys});
	/** How many observations the last report on a version and measure had. */
	readonly #reported = new Map<string, number>();
	readonly #reports = new SummaryQueue<string>({capacity: mostKeys});

	constructor(options: RatingsOptions) {
		const {instance, startedAt, remembered = defaultRemembered, badVersions} = options;
		this.#options = options;
		this.#book = new QualityBook({instance, startedAt});
		this.#monitor = new BadVersionMonitor({
			instance, startedAt, book: this.#book, ...(badVersions !== undefined && {settings: badVersions}),
		});
		this.#memory = new RequestMemory(remembered);
	}

	/** The versions that this instance has stopped. */
	get stops(): LocalStops {
		return this.#stops;
	}

	/** Estimates a quality or share, for `chooseVersion`. */
	readonly quality = (key: QualityKey, prior: Prior): Estimate => {
		this.#keys.use(keyText(key), key);
		return this.#book.estimate(key, {prior, now: this.#options.now()});
	};

	/** Tells whether this instance has stopped a version, for `chooseVersion` and `mayDispatch`. */
	readonly isStoppedHere = (target: VersionTarget): boolean => this.#stops.isStopped(target);

	/**
	Remembers a request that was answered whole, until its rating comes.

	@param request The request and the version that gave the answer.
	*/
	remember(request: ServedRequest): void {
		this.#memory.remember(request);
	}

	/**
	Notes whether an attempt was answered or failed by the engine's own word; a lost connection says nothing of the version and is not noted.

	@param event The version and the request.
	@param failed Whether it failed.
	*/
	noteOutcome(event: VersionEvent, failed: boolean): void {
		this.#observe(observationOf(event, {measure: 'failure', value: Number(failed)}));
	}

	/**
	Notes whether a cascade escalated the answer of its first version.

	@param event The first version and the request.
	@param escalated Whether it escalated.
	*/
	noteEscalation(event: VersionEvent, escalated: boolean): void {
		this.#observe(observationOf(event, {measure: 'escalation', value: Number(escalated)}));
	}

	/**
	Takes the ratings of a post.

	@param ratings The ratings.
	@returns How many were accepted and passed over.
	*/
	take(ratings: readonly Rating[]): IntakeCount {
		return takeRatings(ratings, {
			memory: this.#memory,
			configuration: this.#options.configuration(),
			observe: observation => {
				this.#observe(observation);
			},
		});
	}

	/**
	Makes the next summary for the leader and ends the stops that are decided; called at most once a second.

	@returns The summary, or undefined where there is nothing to tell or ask.
	*/
	summarize(): RatingSummary | undefined {
		const configuration = this.#options.configuration();
		for (const target of this.#stops.release({configuration, now: this.#options.now()})) {
			this.#monitor.reset(target);
		}

		this.#monitor.retain(configuration);

		const keys = this.#keys.take(entriesPerSummary);
		const digest = this.#book.digest(keys);
		const sent = new Set(digest.entries.map(entry => keyText(entry)));
		const wanted = new Set(this.#reports.take(reportsPerSummary));
		for (const suspect of this.#monitor.suspects().slice(0, suspectsPerSummary)) {
			wanted.add(reportText(suspect));
		}

		const evidence = this.#monitor.reports().filter(report => wanted.has(reportText(report)));
		this.#noteReported(evidence);
		return keys.length === 0 && evidence.length === 0
			? undefined
			: {...digest, asked: keys.filter(key => !sent.has(keyText(key))), evidence};
	}

	/**
	Makes a summary of the evidence on what looks bad and was observed since it was last reported; between the usual summaries.

	@returns The summary, or undefined where nothing new looks bad.
	*/
	summarizeSuspects(): RatingSummary | undefined {
		const suspects = new Set(this.#monitor.suspects().slice(0, suspectsPerSummary).map(suspect => reportText(suspect)));
		const evidence = this.#monitor.reports().filter(report => suspects.has(reportText(report)) && this.#reported.get(reportText(report)) !== report.count);
		this.#noteReported(evidence);
		return evidence.length === 0 ? undefined : {...this.#book.digest([]), asked: [], evidence};
	}

	/**
	Takes the leader's answer to a summary.

	@param reply The sums of the other instances.
	*/
	takeReply({others}: RatingSummaryReply): void {
		this.#book.replaceOthers(others, this.#options.now());
	}

	#noteReported(evidence: readonly EvidenceReport[]): void {
		for (const report of evidence) {
			this.#reported.set(reportText(report), report.count);
		}
	}

	#observe(observation: QualityObservation): void {
		const {configuration, now, onAlarm} = this.#options;
		const time = now();
		const ranAt = Math.min(observation.ranAt, time);
		this.#keys.touch(keyText(observation), observation);
		const alarm = this.#monitor.observe({...observation, ranAt}, {configuration: configuration(), now: time});
		if (observation.measure !== 'escalation') {
			const measure = observation.measure === 'failure' ? 'failures' : 'ratings';
			const text = reportText({...observation, measure});
			this.#reports.touch(text, text);
		}

		if (alarm !== undefined) {
			this.#stops.stop(alarm, time);
			onAlarm(alarm);
		}
	}
}

type Seen = {
	readonly measure: QualityMeasure;
	readonly value: number;
};

function observationOf({model, version, workspace, rule, ranAt}: VersionEvent, seen: Seen): QualityObservation {
	return {
		model, version, qualityClass: qualityClass(workspace, rule), ranAt, ...seen,
	};
}

function keyText({model, version, qualityClass: name, measure}: QualityKey): string {
	return `${name}|${versionKey(model, version)}|${measure}`;
}

function reportText({model, version, measure}: Pick<EvidenceReport, 'model' | 'version' | 'measure'>): string {
	return `${versionKey(model, version)}|${measure}`;
}
