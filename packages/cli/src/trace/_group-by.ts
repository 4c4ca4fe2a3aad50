/**
Groups items by key.

@param items The items.
@param keyOf Returns the key of an item.
@returns The items by key. Groups are in the order of their first items, and items keep their order within a group.
*/
export function groupBy<Item, Key>(items: readonly Item[], keyOf: (item: Item) => Key): ReadonlyMap<Key, readonly Item[]> {
	const groups = new Map<Key, Item[]>();
	for (const item of items) {
		const key = keyOf(item);
		const group = groups.get(key);
		if (group === undefined) {
			groups.set(key, [item]);
		} else {
			group.push(item);
		}
	}

	return groups;
}
