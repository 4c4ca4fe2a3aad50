import {type Command, type CommandAnswer, ControlState} from '@valehitch/control';
import {type Bill, type EffectiveConfiguration, type Failure} from '@valehitch/core';
import {type Either} from 'purify-ts';
import {type Timeline} from '../timeline.js';
import {type LedgerMessage, type LedgerPage} from './messages.js';

const ledgerPageSize = 1000;

/** What the host of the control role needs. */
export type ControlHostOptions = {
	readonly timeline: Timeline;
};

/**
Hosts the control role on one instance, in memory; stands in until the replicated log is there.

@example
```ts
const host = new ControlHost({timeline});
```
*/
export class ControlHost {
	readonly #state = new ControlState();
	readonly #listeners: Array<() => void> = [];
	#index = 0;
	readonly #options: ControlHostOptions;

	constructor(options: ControlHostOptions) {
		this.#options = options;
	}

	/** The configuration that was committed last. */
	get effective(): EffectiveConfiguration {
		return this.#state.effective;
	}

	/**
	Reads a page of the ledger.

	@param question The workspace and how many bills to pass over.
	@returns The page.
	*/
	ledger({workspace, after}: LedgerMessage): LedgerPage {
		const bills: Bill[] = [];
		let index = 0;
		for (const bill of this.#state.bills) {
			index++;
			if (index <= after || (workspace !== undefined && bill.workspace !== workspace)) {
				continue;
			}

			bills.push(bill);
			if (bills.length === ledgerPageSize) {
				return {bills, next: index};
			}
		}

		return {bills};
	}

	/**
	Carries out a command.

	@param command The command.
	@returns What it gave.
	*/
	propose(command: Command): Either<Failure, CommandAnswer> {
		const before = this.#state.effective.revision;
		const result = this.#state.apply(command, {term: 1, index: ++this.#index});
		if (this.#state.effective.revision !== before) {
			this.#options.timeline.record('configuration-committed', {revision: this.#state.effective.revision});
		}

		for (const listener of this.#listeners) {
			listener();
		}

		return result;
	}

	/**
	Adds a listener.

	@param listener Called after each command.
	*/
	onApplied(listener: () => void): void {
		this.#listeners.push(listener);
	}
}
