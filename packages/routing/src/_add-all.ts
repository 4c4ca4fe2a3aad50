/**
Adds items to a set.
*/
export function addAll<Item>(target: Set<Item>, added: Iterable<Item>): void {
	for (const item of added) {
		target.add(item);
	}
}
