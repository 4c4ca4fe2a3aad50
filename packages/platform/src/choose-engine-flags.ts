/** What the machine of a process offers. */
export type ProcessorShare = {
	/** The share of a processor core that the process gets, above 0. */
	readonly processorShare: number;
};

/** The share of a core below which functions are optimized later. */
const smallShare = 0.5;
/** The budget, in bytes of executed bytecode, after which the engine considers optimizing a function. */
const laterBudget = 1_000_000;

/**
Chooses the flags of the JavaScript engine for the machine of a process.

The engine optimizes on the thread that serves requests. On a small share of a core, each function that it optimizes delays all requests by tens of milliseconds, and a process with few requests does not earn that back; so only functions that run very often are optimized there.

@param share The share of a processor core.
@returns The flags; none on larger machines.
@example
```ts
chooseEngineFlags({processorShare: 0.3}); // ['--interrupt-budget=1000000']
```
*/
export function chooseEngineFlags({processorShare}: ProcessorShare): readonly string[] {
	return processorShare < smallShare ? [`--interrupt-budget=${laterBudget}`] : [];
}
