/**
Puts items into groups.

@param items The items.
@param keyOf The group of an item.
@returns The items by group, in their order; the groups in the order of their first items.
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
