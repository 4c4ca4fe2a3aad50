import {setMaxListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {deploymentKeys} from '../_settings-file.js';
import {sendRequest} from '../send-request.js';
import {type CallerRecord} from './caller.js';
import {type System} from './system.js';
import {type Workload} from './workload.js';

/** The number of ratings sent, and of those a daemon accepted. */
export type RatingCount = {
	sent: number;
	accepted: number;
};

/** A simulated service that rates responses. */
export type Rater = {
	/** Rates a sample of the responses, each after a delay. */
	readonly rate: (record: CallerRecord) => void;
	readonly count: RatingCount;
	/** Cancels the ratings that have not been sent. */
	readonly stop: () => void;
};

const sampledShare = 0.3;
const minimumDelayMilliseconds = 300;
const delayRangeMilliseconds = 1200;
const noiseRange = 0.2;
/** The quality of the responses of a degraded version. */
const degradedQuality = 0.3;
const responseTimeoutMilliseconds = 2000;

/**
Starts a simulated rating service. It rates 30 % of the complete responses, 0.3 to 1.5 seconds after they arrive, with noise.

@param system The system; each rating goes to one of its entry instances, and to none if the instance accepts no ratings.
@param workload The workload, for the true qualities.
@returns The rater.
@example
```ts
const rater = startRater(system, workload);
rater.rate(record);
```
*/
export function startRater(system: System, workload: Workload): Rater {
	const abort = new AbortController();
	// Each pending rating adds an abort listener.
	setMaxListeners(0, abort.signal);
	const count: RatingCount = {sent: 0, accepted: 0};
	return {
		count,
		rate(record) {
			const {request: {ratingDraw}, isComplete, version} = record;
			if (!isComplete || version === '' || ratingDraw >= sampledShare) {
				return;
			}

			void sendRating(record, {
				system, workload, count, signal: abort.signal,
			});
		},
		stop() {
			abort.abort();
		},
	};
}

type SendRatingOptions = {
	readonly system: System;
	readonly workload: Workload;
	readonly count: RatingCount;
	readonly signal: AbortSignal;
};

async function sendRating(record: CallerRecord, {system, workload, count, signal}: SendRatingOptions): Promise<void> {
	const {request: {entryDraw, workspace, kind, ratingDraw}, version, isDegraded, attempts} = record;
	// Uniform from 0 to 1 among the sampled responses.
	const draw = ratingDraw / sampledShare;
	const entry = system.entries[entryDraw % system.entries.length];
	if (entry?.ratingsUrl === undefined) {
		return;
	}

	const [model, name] = version.split('@');
	const quality = (isDegraded ? degradedQuality : workload.qualities[version] ?? 0) + ((draw - 0.5) * noiseRange);
	try {
		await delay(minimumDelayMilliseconds + (draw * delayRangeMilliseconds), undefined, {signal});
		count.sent++;
		const {status} = await sendRequest(entry.ratingsUrl, {
			method: 'POST',
			headers: {authorization: `Bearer ${deploymentKeys.backends}`},
			body: JSON.stringify({
				requestId: attempts.at(-1)?.requestId, model, version: name, workspace: workspace.name, class: kind.class, rating: Math.min(1, Math.max(0, quality)), ratedAt: Date.now(),
			}),
			signal,
			timeoutMilliseconds: responseTimeoutMilliseconds,
		});
		if (status >= 200 && status < 300) {
			count.accepted++;
		}
	} catch {
		// Losing a rating is acceptable.
	}
}
