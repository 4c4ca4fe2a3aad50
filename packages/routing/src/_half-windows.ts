/** The counts of the half of a time window that is in progress, and of the half before. */
export type HalfWindows<Counts> = {
	current: Counts;
	previous: Counts;
	/** When the current counts began, in milliseconds on the monotonic clock. */
	beganAt: number;
};

/** Options of {@linkcode moveHalfWindows}. */
export type MoveHalfWindowsOptions<Counts> = {
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** The length of the whole window, in milliseconds. */
	readonly windowMilliseconds: number;
	readonly createEmpty: () => Counts;
};

/**
Moves counts on: half a window after the current ones began, they become the previous ones.

@param windows The counts, which are changed.
@param options The time, and the window.
@returns Whether they have moved.
*/
export function moveHalfWindows<Counts>(windows: HalfWindows<Counts>, {now, windowMilliseconds, createEmpty}: MoveHalfWindowsOptions<Counts>): boolean {
	const elapsed = now - windows.beganAt;
	if (elapsed < windowMilliseconds / 2) {
		return false;
	}

	windows.previous = elapsed >= windowMilliseconds ? createEmpty() : windows.current;
	windows.current = createEmpty();
	windows.beganAt = now;
	return true;
}
