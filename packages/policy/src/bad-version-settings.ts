import {type ChangeDetectorOptions} from './change-detector.js';
import {type EvidenceMeasure} from './bad-version-evidence.js';

/** When a version counts as bad. */
export type BadVersionSettings = {
	/** How much worse the mean may be than that of the version it replaces, from 0 to 1. */
	readonly tolerance: number;
	/** The same, while too little is known of the replaced version. */
	readonly coldTolerance: number;
	/** The weight of observations from which the replaced version counts as known. */
	readonly knownWeight: number;
	/** The bound on false alarms. */
	readonly detector: ChangeDetectorOptions;
};

/** The settings for each measure. */
export type BadVersionSettingsByMeasure = Readonly<Record<EvidenceMeasure, BadVersionSettings>>;

/** At most one false stop in 20,000 ratings and in 2 million outcomes. */
export const defaultBadVersionSettings: BadVersionSettingsByMeasure = {
	ratings: {
		tolerance: 0.05, coldTolerance: 0.25, knownWeight: 50, detector: {falseAlarmShare: 0.05, horizon: 1000},
	},
	failures: {
		tolerance: 0.03, coldTolerance: 0.25, knownWeight: 50, detector: {falseAlarmShare: 0.05, horizon: 100_000},
	},
};
