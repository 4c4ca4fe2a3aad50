import {type BadVersionSettingsByMeasure, defaultBadVersionSettings} from '@valehitch/policy';
import {type BadVersionThresholds, type Settings} from '@valehitch/settings';

/**
Converts the daemon settings to the settings of the bad-version tests.

@param settings The daemon's settings.
@returns The settings per measure. The local tests of each instance and the tests of the leader over all instances use the same ones.
@example
```ts
new EvidenceAggregator({...options, badVersions: badVersionSettingsOf(settings)});
```
*/
export function badVersionSettingsOf({badVersions}: Pick<Settings, 'badVersions'>): BadVersionSettingsByMeasure {
	const withDefaults = (measure: 'ratings' | 'failures', {tolerance, falseAlarmShare, horizon}: BadVersionThresholds) => ({
		...defaultBadVersionSettings[measure],
		tolerance,
		detector: {falseAlarmShare, horizon},
	});
	return {
		ratings: withDefaults('ratings', badVersions.ratings),
		failures: withDefaults('failures', badVersions.failures),
	};
}
