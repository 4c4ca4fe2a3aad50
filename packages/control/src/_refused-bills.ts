import {type Bill} from '@valehitch/core';

/** Limits the memory: a refused bill is as large as a recorded one, about 700 bytes. */
const maximumRefusedBills = 1000;

/** The latest refused bills, each once, in the order of their first refusal. They are kept here because the instances that settled them keep no copy. */
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
			if (this.#bills.size <= maximumRefusedBills) {
				return;
			}

			this.#bills.delete(oldest);
		}
	}
}

function keyOf({workspace, request}: Bill): string {
	return `${workspace}/${request}`;
}
