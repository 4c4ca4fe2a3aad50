/** The bytes of callers that an instance holds for all tunnels together before it stops reading: two bodies of the longest size that a configuration allows by default. */
const maximumBytes = 8_388_608;

/** Counts the bytes that all tunnels of an instance have read and their targets have not taken. */
export class ReadAhead {
	#held = 0;
	readonly #waiting = new Set<() => void>();

	/** Whether no more is read from callers whose targets take nothing. */
	get isFull(): boolean {
		return this.#held >= maximumBytes;
	}

	/**
	Counts bytes that are held, or, if the number is negative, that no longer are.

	@param bytes The number of bytes.
	*/
	add(bytes: number): void {
		this.#held += bytes;
		if (this.isFull) {
			return;
		}

		for (const resume of this.#waiting) {
			this.#waiting.delete(resume);
			resume();
		}
	}

	/**
	Resumes a paused caller once there is room again.

	@param resume Called once then.
	@returns A function that ends the wait.
	*/
	waitForRoom(resume: () => void): () => void {
		this.#waiting.add(resume);
		return () => {
			this.#waiting.delete(resume);
		};
	}
}
