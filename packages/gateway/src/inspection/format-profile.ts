import {type ProfileSummary, type TimeShare} from './sum-profile.js';

const percent = 100;
const millisecondsWidth = 10;
const shareWidth = 8;

/**
Formats a profile as a table in plain text.

@param summary The profile.
@returns The lines, each with a line end.
@example
```ts
response.end(formatProfile(summary));
```
*/
export function formatProfile({milliseconds, groups, functions}: ProfileSummary): string {
	const lines = [
		`Processor time over ${milliseconds.toFixed(0)} ms, by groups of modules`,
		...groups.map(share => formatShare(share)),
		'',
		'Own time of functions',
		...functions.map(share => formatShare(share)),
	];
	return `${lines.join('\n')}\n`;
}

function formatShare({name, milliseconds, share}: TimeShare): string {
	return `${milliseconds.toFixed(1).padStart(millisecondsWidth)} ms${(share * percent).toFixed(1).padStart(shareWidth)} %  ${name}`;
}
