/** Allows callers to wait for the next step of a replica. */
export class StepNotifier {
	readonly #waiters: Array<() => void> = [];

	/** Waits until the next call of `notifyAll`. */
	async waitForNext(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#waiters.push(resolve);
		});
	}

	/** Resumes all waiting callers. */
	notifyAll(): void {
		for (const resolve of this.#waiters.splice(0)) {
			resolve();
		}
	}
}
