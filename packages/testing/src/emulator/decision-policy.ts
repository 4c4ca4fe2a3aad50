import {type chooseHomeScope} from '@valehitch/routing';

/** What a play is decided by; each member is one mechanism. */
export type DecisionPolicy = {
	readonly name: string;
	/** Where prompts have their homes; undefined where they have none. */
	readonly homeScope: typeof chooseHomeScope | undefined;
	/** Whether entry instances tell each other their loads. */
	readonly sharesLoads: boolean;
	/** Whether times are taken in proportion to the prompt. */
	readonly countsTokens: boolean;
	/** Whether a server without a word is given up for another. */
	readonly givesUp: boolean;
	/** Whether an unsure answer is asked for again of the largest model. */
	readonly steps: boolean;
};
