import {type ServerId} from '@valehitch/core';
import {type WorkRow, type WorkSums} from './work-row.js';

/** Whether work is added or taken away. */
export type WorkSign = 1 | -1;

/**
Adds up work by server and by priority. The numbers are whole, so that work that is taken away again leaves nothing behind.

@example
```ts
const totals = new WorkTotals();
totals.apply(part, 1);
totals.apply(part, -1);
totals.sums; // {rows: [], held: []}
```
*/
export class WorkTotals {
	readonly #rows = new Map<ServerId, WorkRow>();
	readonly #held = new Map<number, number>();

	/**
	Adds work, or takes it away.

	@param sums The work.
	@param sign 1 to add it, -1 to take it away.
	*/
	apply({rows, held}: WorkSums, sign: WorkSign): void {
		for (const [server, reading, streams, observed, expected] of rows) {
			const [, ...known] = this.#rows.get(server) ?? [server, 0, 0, 0, 0];
			const row: WorkRow = [server, known[0] + (sign * reading), known[1] + (sign * streams), known[2] + (sign * observed), known[3] + (sign * expected)];
			if (row.every(value => value === 0 || value === server)) {
				this.#rows.delete(server);
			} else {
				this.#rows.set(server, row);
			}
		}

		for (const {priority, milliseconds} of held) {
			const sum = (this.#held.get(priority) ?? 0) + (sign * milliseconds);
			if (sum === 0) {
				this.#held.delete(priority);
			} else {
				this.#held.set(priority, sum);
			}
		}
	}

	/** The sums. */
	get sums(): WorkSums {
		return {rows: [...this.#rows.values()], held: [...this.#held].map(([priority, milliseconds]) => ({priority, milliseconds}))};
	}
}
