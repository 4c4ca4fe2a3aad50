import {type BadVersionAlarm, type EvidenceMeasure} from './bad-version-evidence.js';
import {type ChangeDetector} from './change-detector.js';
import {type VersionTarget} from './version-target.js';

/** A version whose detector went off. */
export type Alarmed = VersionTarget & {
	readonly measure: EvidenceMeasure;
	readonly detector: ChangeDetector;
	/** The sum of the observations, from 0 (good) to 1 (bad) each. */
	readonly badness: number;
	readonly count: number;
	/** Where the observations come from, such as `this instance`. */
	readonly source: string;
};

/**
Makes the alarm of a version that was found bad.

@param alarmed The version and what was seen of it.
@returns The alarm with its reason in words.
@example
```ts
alarmOf({...target, measure: 'ratings', detector, badness: 30, count: 60, source: 'this instance'}).reason;
```
*/
export function alarmOf({model, version, measure, detector, badness, count, source}: Alarmed): BadVersionAlarm {
	const {evidence, threshold} = detector;
	const name = measure === 'failures' ? 'a share of failures' : 'a mean loss of rating';
	const mean = (badness / count).toFixed(3);
	return {
		model,
		version,
		measure,
		count: detector.count,
		evidence,
		threshold,
		reason: `Got ${name} of ${mean} over ${count} observations of ${source}, worse than allowed (evidence ${evidence.toPrecision(3)}, threshold ${threshold})`,
	};
}
