/** Lets callers wait until a replica has taken its next step. */
export class StepWaiters {
	readonly #waiting: Array<() => void> = [];

	/** Waits until `wake` is called. */
	async next(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#waiting.push(resolve);
		});
	}

	/** Lets all go on that wait. */
	wake(): void {
		for (const resolve of this.#waiting.splice(0)) {
			resolve();
		}
	}
}
