import {type WorkspaceId} from '@valehitch/core';
import {type AttemptPurpose, RetryBudget} from '@valehitch/routing';
import {match} from 'ts-pattern';

/** An attempt that asks its budget. */
export type BudgetedAttempt = {
	readonly purpose: AttemptPurpose;
	readonly workspace: WorkspaceId;
	/** The version, as `versionKey` names it, or the service. */
	readonly target: string;
};

/**
The budgets of further attempts: retries and hedges as a small share of the traffic, resumes as much as there is traffic, since a resume does only the work that is left.

@example
```ts
budgets.allows({purpose: 'retry', workspace, target}, now);
```
*/
export class AttemptBudgets {
	readonly #retries = new RetryBudget({share: 0.2, floorPerSecond: 1, burst: 20});
	readonly #resumes = new RetryBudget({share: 1, floorPerSecond: 1, burst: 256});
	readonly #hedges = new RetryBudget({share: 0.05, floorPerSecond: 0.1, burst: 5});

	/**
	Asks for an attempt; a first one fills the budgets.

	@param attempt The attempt.
	@param now Milliseconds on the monotonic clock.
	@returns Whether it may be made; if so, it is used up.
	*/
	allows({purpose, workspace, target}: BudgetedAttempt, now: number): boolean {
		const key = `${workspace}/${target}`;
		return match(purpose)
			.with('first', () => {
				for (const budget of [this.#retries, this.#resumes, this.#hedges]) {
					budget.deposit(key, now);
				}

				return true;
			})
			.with('escalation', () => true)
			.with('retry', () => this.#retries.withdraw(key, now))
			.with('resume', () => this.#resumes.withdraw(key, now))
			.with('hedge', () => this.#hedges.withdraw(key, now))
			.exhaustive();
	}
}
