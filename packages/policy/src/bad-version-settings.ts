import {type ChangeDetectorOptions} from './change-detector.js';
import {type EvidenceMeasure} from './bad-version-evidence.js';

/** The criteria for a bad version. */
export type BadVersionSettings = {
	/** How much the mean badness may exceed that of the baseline version, from 0 to 1. */
	readonly tolerance: number;
	/** The tolerance used until the baseline has `minimumBaselineWeight`. */
	readonly coldStartTolerance: number;
	/** The weight of observations from which the baseline is considered reliable. */
	readonly minimumBaselineWeight: number;
	/** The bound on the false alarm rate. */
	readonly detector: ChangeDetectorOptions;
};

/** The bad version settings of each measure. */
export type BadVersionSettingsByMeasure = Readonly<Record<EvidenceMeasure, BadVersionSettings>>;

/** The default settings, which allow at most one false stop in 20,000 ratings and one in 2 million outcomes. */
export const defaultBadVersionSettings: BadVersionSettingsByMeasure = {
	ratings: {
		tolerance: 0.05, coldStartTolerance: 0.25, minimumBaselineWeight: 50, detector: {falseAlarmShare: 0.05, horizon: 1000},
	},
	failures: {
		tolerance: 0.03, coldStartTolerance: 0.25, minimumBaselineWeight: 50, detector: {falseAlarmShare: 0.05, horizon: 100_000},
	},
};
