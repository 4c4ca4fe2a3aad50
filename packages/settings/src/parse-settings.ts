import {type Either} from 'purify-ts';
import {checkSettings} from './_check-settings.js';
import {type DocumentProblem} from './document-problem.js';
import {parseDocument} from './parse-document.js';
import {settingsSchema} from './settings-schema.js';
import {type Settings} from './settings.js';

/**
Parses and validates the settings file of a daemon.

@param text The text of the file, in YAML or JSON.
@param file The file name to report in problems.
@returns The settings with defaults applied, or all problems found.
@example
```ts
parseSettings(await readFile('entry.yaml', 'utf8'), 'entry.yaml');
```
*/
export function parseSettings(text: string, file: string): Either<readonly DocumentProblem[], Settings> {
	return parseDocument(text, {file, schema: settingsSchema, check: checkSettings});
}
