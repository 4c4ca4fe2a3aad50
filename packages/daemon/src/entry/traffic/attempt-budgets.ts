import {type WorkspaceId} from '@valehitch/core';
import {type AttemptPurpose, RetryBudget} from '@valehitch/routing';
import {match} from 'ts-pattern';

/** An attempt that needs a budget. */
export type BudgetedAttempt = {
	readonly purpose: AttemptPurpose;
	readonly workspace: WorkspaceId;
	/** The version, as `versionKey` names it, or the service. */
	readonly target: string;
};

/**
The budgets for additional attempts. Retries and hedges are limited to a small share of the first attempts. Resumes may be as many as the first attempts, since a resume does only the remaining work.

@example
```ts
budgets.tryWithdraw({purpose: 'retry', workspace, target}, now);
```
*/
export class AttemptBudgets {
	readonly #retries = new RetryBudget({ratio: 0.2, minimumPerSecond: 1, burst: 20});
	readonly #resumes = new RetryBudget({ratio: 1, minimumPerSecond: 1, burst: 256});
	readonly #hedges = new RetryBudget({ratio: 0.05, minimumPerSecond: 0.1, burst: 5});

	/**
	Withdraws an attempt from its budget; a first attempt is always allowed and deposits into all budgets.

	@param attempt The attempt.
	@param now The time, in milliseconds of the monotonic clock.
	@returns Whether the attempt is allowed.
	*/
	tryWithdraw({purpose, workspace, target}: BudgetedAttempt, now: number): boolean {
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
