/** How many lines are written. */
export type LineBudgetOptions = {
	/** Lines a second of each kind; 20 by default, so that all kinds together stay under 100 KB a second. */
	readonly linesPerSecond?: number;
	/** Lines a second of each kind for failures and slow requests, above the others; 40 by default. */
	readonly urgentLinesPerSecond?: number;
};

/** A kind of line and how many of it were left out. */
export type LeftOut = {
	readonly kind: string;
	readonly count: number;
};

type Usage = {
	written: number;
	leftOut: number;
};

const second = 1000;

/**
Bounds the lines of each kind within a second, and counts what was left out.

@example
```ts
const budget = new LineBudget();
if (budget.take('request-ended', {now, isUrgent: false})) write();
```
*/
export class LineBudget {
	readonly #lines: number;
	readonly #urgentLines: number;
	readonly #usage = new Map<string, Usage>();
	#began = 0;

	constructor({linesPerSecond = 20, urgentLinesPerSecond = 40}: LineBudgetOptions = {}) {
		this.#lines = linesPerSecond;
		this.#urgentLines = linesPerSecond + urgentLinesPerSecond;
	}

	/**
	Asks for a line.

	@param kind The kind of line.
	@param options Whether the line is about a failure or a slow request.
	@returns Whether it may be written.
	*/
	take(kind: string, {isUrgent}: {readonly isUrgent: boolean}): boolean {
		const usage = this.#usage.get(kind) ?? {written: 0, leftOut: 0};
		this.#usage.set(kind, usage);
		if (usage.written >= (isUrgent ? this.#urgentLines : this.#lines)) {
			usage.leftOut++;
			return false;
		}

		usage.written++;
		return true;
	}

	/**
	Begins the next second where one has passed.

	@param now Milliseconds on the monotonic clock.
	@returns What was left out in the second before.
	*/
	renew(now: number): readonly LeftOut[] {
		if (now - this.#began < second) {
			return [];
		}

		this.#began = now;
		const leftOut: LeftOut[] = [];
		for (const [kind, usage] of this.#usage) {
			if (usage.leftOut > 0) {
				leftOut.push({kind, count: usage.leftOut});
			}

			usage.written = 0;
			usage.leftOut = 0;
		}

		return leftOut;
	}
}
