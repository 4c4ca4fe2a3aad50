import {
	type Bill, type ChangeId, type EffectiveConfiguration, emptyConfiguration, failure, toRevision,
} from '@valehitch/core';
import {Left, Right} from 'purify-ts';
import {type ApplyConfigurationCommand, type Command, type RecordBillsCommand} from './command.js';
import {type CommandResult, type LogPosition} from './command-answer.js';

/**
The replicated state: configuration and ledger; a function of the commands in their order, without time or chance.

@example
```ts
const state = new ControlState();
state.apply({type: 'record-bills', bills: []}, {term: 1, index: 1});
```
*/
export class ControlState {
	#effective: EffectiveConfiguration = {revision: toRevision(0), document: emptyConfiguration, rollouts: {}};
	readonly #changes = new Map<ChangeId, {digest: string; result: CommandResult}>();
	readonly #ledger = new Map<string, Bill>();

	/** The configuration that was committed last. */
	get effective(): EffectiveConfiguration {
		return this.#effective;
	}

	/** The bills in the order in which they came. */
	get bills(): Iterable<Bill> {
		return this.#ledger.values();
	}

	/**
	Carries out one command.

	@param command The next command of the log.
	@param position Where the command stands in the log.
	@returns The answer or the failure; both are the same on every replica.
	*/
	apply<Kind extends Command>(command: Kind, position: LogPosition): CommandResult<Kind> {
		return this.#carryOut(command, position) as CommandResult<Kind>;
	}

	#carryOut(command: Command, {index}: LogPosition): CommandResult {
		if (command.type === 'apply-configuration') {
			return this.#applyConfiguration(command);
		}

		if (command.type === 'record-bills') {
			return this.#recordBills(command);
		}

		return Left(failure('internal', `Got ${command.type} at index ${index}, wanted a command that this version carries out`));
	}

	#applyConfiguration(change: ApplyConfigurationCommand): CommandResult {
		const earlier = this.#changes.get(change.changeId);
		if (earlier !== undefined) {
			return earlier.digest === change.digest
				? earlier.result
				: Left(failure('change-id-reused', `Got change id ${change.changeId} with another document, wanted a new change id`));
		}

		const result = this.#compareAndSet(change);
		this.#changes.set(change.changeId, {digest: change.digest, result});
		return result;
	}

	#compareAndSet({expectedRevision, document}: ApplyConfigurationCommand): CommandResult {
		const {revision, rollouts} = this.#effective;
		if (expectedRevision !== revision) {
			return Left(failure('revision-conflict', `Got revision ${expectedRevision}, wanted the current revision ${revision}`, {details: {currentRevision: revision}}));
		}

		const next = toRevision(revision + 1);
		this.#effective = {revision: next, document, rollouts};
		return Right({revision: next});
	}

	#recordBills({bills}: RecordBillsCommand): CommandResult {
		for (const bill of bills) {
			const key = `${bill.workspace}/${bill.request}`;
			if (!this.#ledger.has(key)) {
				this.#ledger.set(key, bill);
			}
		}

		return Right({revision: this.#effective.revision, recorded: bills.length, expired: []});
	}
}
