import {type chooseHomeScope} from '@valehitch/routing';

/** The mechanisms by which a simulation routes requests; each can be switched on its own. */
export type DecisionPolicy = {
	readonly name: string;
	/** Chooses the scope of prompt-cache affinity; undefined disables affinity. */
	readonly homeScope: typeof chooseHomeScope | undefined;
	/** The other entry instances whose loads an instance knows: none, its load-sharing peers, or all. */
	readonly knownLoads: 'none' | 'near' | 'all';
	/** Whether latencies are estimated in proportion to the prompt length. */
	readonly countsTokens: boolean;
	/** Whether a request is moved to another server if its server stays silent. */
	readonly givesUp: boolean;
	/** Whether a low-confidence response escalates to a larger model. */
	readonly steps: boolean;
};
