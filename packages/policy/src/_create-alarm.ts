import {type BadVersionAlarm, type EvidenceMeasure} from './bad-version-evidence.js';
import {type ChangeDetector} from './change-detector.js';
import {type VersionTarget} from './version-target.js';

/** The data of an alarm: a version whose change detector reached its threshold. */
export type AlarmDetails = VersionTarget & {
	readonly measure: EvidenceMeasure;
	readonly detector: ChangeDetector;
	/** The sum of the observations, from 0 (good) to 1 (bad) each. */
	readonly badness: number;
	readonly count: number;
	/** The origin of the observations for the reason text, such as `this instance`. */
	readonly source: string;
};

/**
Creates the alarm for a version that was found bad.

@param details The version and its observations.
@returns The alarm with a reason for operators.
@example
```ts
createAlarm({...target, measure: 'ratings', detector, badness: 30, count: 60, source: 'this instance'}).reason;
```
*/
export function createAlarm({model, version, measure, detector, badness, count, source}: AlarmDetails): BadVersionAlarm {
	const {evidence, threshold} = detector;
	const measureName = measure === 'failures' ? 'a share of failures' : 'a mean loss of rating';
	const mean = (badness / count).toFixed(3);
	return {
		model,
		version,
		measure,
		count: detector.count,
		evidence,
		threshold,
		reason: `Got ${measureName} of ${mean} over ${count} observations of ${source}, worse than allowed (evidence ${evidence.toPrecision(3)}, threshold ${threshold})`,
	};
}
