import {
	type Bill, type ChangeId, type EffectiveConfiguration, emptyConfiguration, type Failure, failure, toRevision,
} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';
import {match} from 'ts-pattern';
import {type ApplyConfigurationCommand, type Command, type RecordBillsCommand} from './command.js';

/** What a command gave. */
export type CommandResult = Either<Failure, CommandAnswer>;

/** The answer of a command that was carried out. */
export type CommandAnswer = {
	/** The revision after the command. */
	readonly revision: number;
};

/**
The replicated state: configuration and ledger; a function of the commands in their order, without time or chance.

@example
```ts
const state = new ControlState();
state.apply({type: 'record-bills', bills: []});
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
	@returns The answer or the failure; both are the same on every replica.
	*/
	apply(command: Command): CommandResult {
		return match(command)
			.with({type: 'apply-configuration'}, change => this.#applyConfiguration(change))
			.with({type: 'record-bills'}, record => this.#recordBills(record))
			.exhaustive();
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

		return Right({revision: this.#effective.revision});
	}
}
