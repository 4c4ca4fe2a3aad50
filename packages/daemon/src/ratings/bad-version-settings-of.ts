import {type BadVersionSettingsByMeasure, defaultBadVersionSettings} from '@valehitch/policy';
import {type BadVersionSettings, type Settings} from '@valehitch/settings';

/**
Takes from the settings when a version counts as bad.

@param settings The daemon's settings.
@returns The settings of the tests, for the instance's own and for the leader's.
@example
```ts
new EvidenceKeeper({...options, badVersions: badVersionSettingsOf(settings)});
```
*/
export function badVersionSettingsOf({badVersions}: Pick<Settings, 'badVersions'>): BadVersionSettingsByMeasure {
	const withDefaults = (measure: 'ratings' | 'failures', {tolerance, falseAlarmShare, horizon}: BadVersionSettings) => ({
		...defaultBadVersionSettings[measure],
		tolerance,
		detector: {falseAlarmShare, horizon},
	});
	return {
		ratings: withDefaults('ratings', badVersions.ratings),
		failures: withDefaults('failures', badVersions.failures),
	};
}
