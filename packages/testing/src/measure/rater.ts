import {setMaxListeners} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {deploymentKeys} from '../_settings-file.js';
import {sendRequest} from '../send-request.js';
import {type CallerRecord} from './caller.js';
import {type System} from './system.js';
import {type Workload} from './workload.js';

/** How many ratings were sent, and how many a daemon took. */
export type RatingCount = {
	sent: number;
	taken: number;
};

/** The stand-in for the service that rates answers. */
export type Rater = {
	/** Rates an answer, late and only sometimes. */
	readonly rate: (record: CallerRecord) => void;
	readonly count: RatingCount;
	/** Drops the ratings that have not been sent. */
	readonly stop: () => void;
};

const sampledShare = 0.3;
const shortestDelayMilliseconds = 300;
const delaySpreadMilliseconds = 1200;
const noise = 0.2;
/** The quality of a bad version's answers. */
const badQuality = 0.3;
const answerTimeoutMilliseconds = 2000;

/**
Starts the rating stand-in: it rates 30 % of the answers, 0.3 to 1.5 seconds late, with noise.

@param system Where the ratings go, to one instance each; a system without an address for them gets none.
@param workload Tells the true qualities.
@returns The rater.
@example
```ts
const rater = startRater(system, workload);
rater.rate(record);
```
*/
export function startRater(system: System, workload: Workload): Rater {
	const abort = new AbortController();
	// Each rating that waits listens for the end.
	setMaxListeners(0, abort.signal);
	const count: RatingCount = {sent: 0, taken: 0};
	return {
		count,
		rate(record) {
			const {request: {ratingDraw}, isWhole, version} = record;
			if (!isWhole || version === '' || ratingDraw >= sampledShare) {
				return;
			}

			void send(record, {
				system, workload, count, signal: abort.signal,
			});
		},
		stop() {
			abort.abort();
		},
	};
}

type Sending = {
	readonly system: System;
	readonly workload: Workload;
	readonly count: RatingCount;
	readonly signal: AbortSignal;
};

async function send(record: CallerRecord, {system, workload, count, signal}: Sending): Promise<void> {
	const {request: {turn, workspace, kind, ratingDraw}, version, isBad, sends} = record;
	const draw = ratingDraw / sampledShare;
	const entry = system.entries[turn % system.entries.length];
	if (entry?.ratings === undefined) {
		return;
	}

	const [model, name] = version.split('@');
	const quality = (isBad ? badQuality : workload.qualities[version] ?? 0) + ((draw - 0.5) * noise);
	try {
		await delay(shortestDelayMilliseconds + (draw * delaySpreadMilliseconds), undefined, {signal});
		count.sent++;
		const {status} = await sendRequest(entry.ratings, {
			method: 'POST',
			headers: {authorization: `Bearer ${deploymentKeys.backends}`},
			body: JSON.stringify({
				requestId: sends.at(-1)?.requestId, model, version: name, workspace: workspace.name, class: kind.class, rating: Math.min(1, Math.max(0, quality)), ratedAt: Date.now(),
			}),
			signal,
			timeoutMilliseconds: answerTimeoutMilliseconds,
		});
		if (status >= 200 && status < 300) {
			count.taken++;
		}
	} catch {
		// A rating may be lost.
	}
}
