/**
Reads an own member of a record, so that a name such as `constructor` finds nothing.

@param record The record.
@param key The key.
@returns The member, or undefined.
@example
```ts
own(configuration.models, model)?.versions;
```
*/
export function own<Key extends string, Value>(record: Readonly<Record<Key, Value>> | undefined, key: Key): Value | undefined {
	return record !== undefined && Object.hasOwn(record, key) ? record[key] : undefined;
}
