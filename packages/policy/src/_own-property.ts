/**
Reads an own property of a record, so that an inherited name such as `constructor` yields undefined.

@param record The record.
@param key The property name.
@returns The property's value, or undefined if the record or the property is missing.
@example
```ts
own(configuration.models, model)?.versions;
```
*/
export function ownProperty<Key extends string, Value>(record: Readonly<Record<Key, Value>> | undefined, key: Key): Value | undefined {
	return record !== undefined && Object.hasOwn(record, key) ? record[key] : undefined;
}
