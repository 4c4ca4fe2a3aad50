import {type Either} from 'purify-ts';
import {checkSettings} from './_check-settings.js';
import {type DocumentProblem} from './document-problem.js';
import {parseDocument} from './parse-document.js';
import {settingsSchema} from './settings-schema.js';
import {type Settings} from './settings.js';

/**
Parses and checks the settings file of a daemon.

@param text The text of the file, in YAML or JSON.
@param file The file's name for problems.
@returns The settings with their defaults filled in, or every problem found.
@example
```ts
parseSettings(await readFile('entry.yaml', 'utf8'), 'entry.yaml');
```
*/
export function parseSettings(text: string, file: string): Either<readonly DocumentProblem[], Settings> {
	return parseDocument(text, {file, schema: settingsSchema, check: checkSettings});
}
