/** Among which servers a prompt has its home: those of the own availability zone, or all. */
export type HomeScope = 'zone' | 'all';

/** What decides on the scope. */
export type ChooseHomeScopeOptions = {
	/** The tokens that the prompt shares with others about the same subject. */
	readonly sharedTokens: number;
	/** The share of such requests whose subject was asked about shortly before, from 0 to 1. */
	readonly repeatShare: number;
	/** The bytes of the request that cross to another zone. */
	readonly bytes: number;
	/** How many bytes between zones are worth one token that need not be read again; 20 by default, from the prices of a deployment with engines of 100 tokens a millisecond. */
	readonly bytesPerToken?: number;
};

/**
Chooses the servers among which a prompt has its home.

With one home in each zone a subject is read once in each; with one home over all zones it is read once, but most requests cross to another zone. That pays where what is spared, the shared tokens as often as subjects repeat, is worth more than the bytes: for long prompts about subjects that come again, and not for short ones or subjects of a single request.

@param options What decides.
@returns The scope.
@example
```ts
chooseHomeScope({sharedTokens: 5400, repeatShare: 0.3, bytes: 12_000}); // 'all'
```
*/
export function chooseHomeScope({sharedTokens, repeatShare, bytes, bytesPerToken = 20}: ChooseHomeScopeOptions): HomeScope {
	return sharedTokens * repeatShare * bytesPerToken > bytes ? 'all' : 'zone';
}
