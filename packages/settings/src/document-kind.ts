import {Either} from 'purify-ts';
import {parseDocument as parseYaml, isMap, isScalar} from 'yaml';

/** What a document is: the settings of a daemon, or the operators' configuration. */
export type DocumentKind = 'settings' | 'configuration';

const configurationKeys: ReadonlySet<unknown> = new Set(['models', 'services', 'workspaces']);
const settingsKeys: ReadonlySet<unknown> = new Set(['instance', 'region', 'zone', 'roles', 'listen', 'control', 'dataFolder', 'keys']);

/**
Tells the kind of a document by its top keys.

@param text The text of the document, which may have faults.
@returns The kind most of whose keys it has, or undefined where that doesn't tell.
@example
```ts
documentKind('models: {}'); // 'configuration'
```
*/
export function documentKind(text: string): DocumentKind | undefined {
	const keys = topKeys(text);
	const settings = keys.filter(key => settingsKeys.has(key)).length;
	const configuration = keys.filter(key => configurationKeys.has(key)).length;
	if (settings === configuration) {
		return undefined;
	}

	return settings > configuration ? 'settings' : 'configuration';
}

function topKeys(text: string): readonly unknown[] {
	const {contents} = Either.encase(() => parseYaml(text, {logLevel: 'silent'})).orDefault(parseYaml(''));
	return isMap(contents) ? contents.items.map(({key}) => isScalar(key) ? key.value : undefined) : [];
}
