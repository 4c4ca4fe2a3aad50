import {type chooseHomeScope} from '@valehitch/routing';

/** What a play is decided by; each member is one mechanism. */
export type DecisionPolicy = {
	readonly name: string;
	/** Where prompts have their homes; undefined where they have none. */
	readonly homeScope: typeof chooseHomeScope | undefined;
	/** Whose loads an entry instance knows beside its own: nobody's, those of the instances near it, or those of all. */
	readonly knownLoads: 'none' | 'near' | 'all';
	/** Whether times are taken in proportion to the prompt. */
	readonly countsTokens: boolean;
	/** Whether a server without a word is given up for another. */
	readonly givesUp: boolean;
	/** Whether an unsure answer is asked for again of the largest model. */
	readonly steps: boolean;
};
