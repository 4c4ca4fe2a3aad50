import {atLeast} from './_bounded-request.js';
import {type HeldWork} from './pool-picture.js';

/** Returns the held work of a priority, in milliseconds at a server of mean speed. */
export function heldAt(held: readonly HeldWork[], priority: number): number {
	return sumWhere(held, other => other === priority);
}

/** Returns the held work of a priority and of all that are more urgent, in milliseconds at a server of mean speed. */
export function heldUpTo(held: readonly HeldWork[], priority: number): number {
	return sumWhere(held, other => other <= priority);
}

function sumWhere(held: readonly HeldWork[], isCounted: (priority: number) => boolean): number {
	let work = 0;
	for (const {priority, milliseconds} of held) {
		if (isCounted(priority)) {
			work += atLeast(milliseconds, 0);
		}
	}

	return work;
}
