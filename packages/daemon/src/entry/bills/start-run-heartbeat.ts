import {type InstanceRun} from '@valehitch/control';
import {type Failure} from '@valehitch/core';
import {type Either} from 'purify-ts';

/** Options of {@linkcode startRunHeartbeat}. */
export type RunHeartbeatOptions = {
	/** How long the ledger keeps a run without a report, in milliseconds. */
	readonly retentionMilliseconds: number;
	/** Reports to the ledger that a run continues. */
	readonly report: (running: InstanceRun) => Promise<Either<Failure, unknown>>;
	/** Called when a report failed; the run is reported again at the next interval. */
	readonly onFailure: (failed: Failure) => void;
};

const maximumIntervalMilliseconds = 3_600_000;
/** Reports per period for which the ledger keeps a run, so that some of them may be lost. */
const reportsPerRetention = 4;

/**
Reports a run to the ledger now and then at least hourly, since the ledger refuses bills of a run that it has evicted.

@param running The run.
@param options How to report the run.
@returns A function that stops the reports.
@example
```ts
const stop = startRunHeartbeat({instance, startedAt}, {retentionMilliseconds, report, onFailure});
```
*/
export function startRunHeartbeat(running: InstanceRun, {retentionMilliseconds, report, onFailure}: RunHeartbeatOptions): () => void {
	const reportOnce = async (): Promise<void> => {
		const result = await report(running);
		result.ifLeft(onFailure);
	};

	const timer = setInterval(() => {
		void reportOnce();
	}, Math.min(maximumIntervalMilliseconds, retentionMilliseconds / reportsPerRetention));
	void reportOnce();
	return () => {
		clearInterval(timer);
	};
}
