/** What is to be decided by what an instance knows: that a caller is refused for good, that a request may be sent, or that a server is sent one. */
export type KnowledgeUse = 'final-refusal' | 'permission' | 'server';

/** What an instance knows, and for how long it has not heard otherwise. */
export type AgedKnowledge = {
	readonly use: KnowledgeUse;
	/** The time since it was last known to be current, in milliseconds; infinite if it is unknown. */
	readonly age: number;
	/** The age up to which it is used as it is, in milliseconds: shorter than the time within which a change has to apply. */
	readonly currentFor: number;
	/** The age up to which it may permit requests, in milliseconds; infinite where nothing can be revoked. */
	readonly permitsFor: number;
	/** Whether a newer state was asked for, and did not come in time. */
	readonly wasAsked: boolean;
};

/** What follows: the knowledge is used, a newer state is asked for, or the request is refused as not run, so that its caller may come back. */
export type AgeDecision = 'use' | 'ask' | 'refuse-for-now';

/**
Decides whether an instance may go by what it knows, by the age of its knowledge.

News may be late without any sign of it: behind other bytes on a link, or unread on a busy instance. What is older than the time within which a change has to apply is asked for before it is used. Where no newer state comes, a refusal for good would be a guess; a permission holds until its lease ends, and a server is used, so that an instance that is cut off goes on serving.

It answers late news at any load, and costs nothing while replies come in time.

@param knowledge The knowledge.
@returns The decision.
@example
```ts
decideByAge({use: 'final-refusal', age: 2600, currentFor: 1500, permitsFor: 4500, wasAsked: false}); // 'ask'
```
*/
export function decideByAge({use, age, currentFor, permitsFor, wasAsked}: AgedKnowledge): AgeDecision {
	if (age <= currentFor) {
		return 'use';
	}

	if (!wasAsked) {
		return 'ask';
	}

	if (use === 'final-refusal') {
		return 'refuse-for-now';
	}

	return use === 'server' || age < permitsFor ? 'use' : 'refuse-for-now';
}
