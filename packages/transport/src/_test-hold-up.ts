/** Holds this process up for some milliseconds: it does nothing else meanwhile. */
export function holdUp(milliseconds: number): void {
	const end = performance.now() + milliseconds;
	while (performance.now() < end) {
		// Waits for the end.
	}
}
