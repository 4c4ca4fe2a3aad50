import {Either} from 'purify-ts';
import {parseDocument as parseYaml, isMap, isScalar} from 'yaml';

/** The kind of a document: the settings of a daemon or the operators' configuration. */
export type DocumentKind = 'settings' | 'configuration';

const configurationKeys: ReadonlySet<unknown> = new Set(['models', 'services', 'workspaces']);
const settingsKeys: ReadonlySet<unknown> = new Set(['instance', 'region', 'zone', 'roles', 'listen', 'control', 'dataFolder', 'keys']);

/**
Detects the kind of a document from its top-level keys.

@param text The text of the document, which may be invalid.
@returns The kind that more of the top-level keys belong to, or undefined if both have equally many.
@example
```ts
detectDocumentKind('models: {}'); // 'configuration'
```
*/
export function detectDocumentKind(text: string): DocumentKind | undefined {
	const keys = readTopLevelKeys(text);
	const settingsKeyCount = keys.filter(key => settingsKeys.has(key)).length;
	const configurationKeyCount = keys.filter(key => configurationKeys.has(key)).length;
	if (settingsKeyCount === configurationKeyCount) {
		return undefined;
	}

	return settingsKeyCount > configurationKeyCount ? 'settings' : 'configuration';
}

function readTopLevelKeys(text: string): readonly unknown[] {
	const {contents} = Either.encase(() => parseYaml(text, {logLevel: 'silent'})).orDefault(parseYaml(''));
	return isMap(contents) ? contents.items.map(({key}) => isScalar(key) ? key.value : undefined) : [];
}
