import {type Bill} from '@valehitch/core';

/** Bounds the memory: a refused bill is as large as a recorded one, some 700 bytes. */
const mostRefused = 1000;

/** The bills that the ledger refused, each once, the latest ones: their owners keep no copy. */
export class RefusedBills {
	readonly #bills: Map<string, Bill>;

	constructor(bills: readonly Bill[] = []) {
		this.#bills = new Map(bills.map(bill => [keyOf(bill), bill]));
	}

	get bills(): readonly Bill[] {
		return [...this.#bills.values()];
	}

	add(bill: Bill): void {
		this.#bills.set(keyOf(bill), bill);
		for (const oldest of this.#bills.keys()) {
			if (this.#bills.size <= mostRefused) {
				return;
			}

			this.#bills.delete(oldest);
		}
	}
}

function keyOf({workspace, request}: Bill): string {
	return `${workspace}/${request}`;
}
