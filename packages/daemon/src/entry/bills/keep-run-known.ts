import {type InstanceRun} from '@valehitch/control';
import {type Failure} from '@valehitch/core';
import {type Either} from 'purify-ts';

/** How the ledger hears of a run. */
export type KeepRunKnownOptions = {
	/** How long the ledger remembers a run that it does not hear of, in milliseconds. */
	readonly rememberedMilliseconds: number;
	/** Tells the ledger that a run goes on. */
	readonly tell: (running: InstanceRun) => Promise<Either<Failure, unknown>>;
	/** Told why the ledger did not hear of it; it is told again at the next time. */
	readonly onFailure: (failed: Failure) => void;
};

const mostMilliseconds = 3_600_000;
/** So that some words may be lost. */
const wordsPerMemory = 4;

/**
Tells the ledger at once and then every hour that this run goes on, since it refuses the bills of one that it has forgotten.

@param running The run.
@param options How the ledger hears of it.
@returns Ends it.
@example
```ts
const stop = keepRunKnown({instance, startedAt}, {rememberedMilliseconds, tell, onFailure});
```
*/
export function keepRunKnown(running: InstanceRun, {rememberedMilliseconds, tell, onFailure}: KeepRunKnownOptions): () => void {
	const tellOnce = async (): Promise<void> => {
		const told = await tell(running);
		told.ifLeft(onFailure);
	};

	const timer = setInterval(() => {
		void tellOnce();
	}, Math.min(mostMilliseconds, rememberedMilliseconds / wordsPerMemory));
	void tellOnce();
	return () => {
		clearInterval(timer);
	};
}
