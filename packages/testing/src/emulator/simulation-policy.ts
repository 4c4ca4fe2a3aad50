import {type chooseAffinityScope} from '@valehitch/routing';

/** The mechanisms by which a simulation routes requests; each can be switched independently. */
export type SimulationPolicy = {
	readonly name: string;
	/** Chooses the scope of prompt-cache affinity; undefined disables affinity. */
	readonly chooseAffinityScope: typeof chooseAffinityScope | undefined;
	/** The other entry instances whose loads an instance receives: none, its load-sharing peers, or all. */
	readonly knownLoads: 'none' | 'near' | 'all';
	/** Whether latencies are estimated in proportion to the prompt length. */
	readonly scalesWithPrompt: boolean;
	/** Whether a request is moved to another server if its server does not respond in time. */
	readonly abandonsSilentServers: boolean;
	/** Whether a low-confidence response escalates to a larger model. */
	readonly escalates: boolean;
};
