import {type chooseAffinityScope} from '@valehitch/routing';
import {type DigestOutage} from './digest-loads.js';

/** The mechanisms by which a simulation routes requests; each can be switched independently. */
export type SimulationPolicy = {
	readonly name: string;
	/** Chooses the scope of prompt-cache affinity; undefined disables affinity. */
	readonly chooseAffinityScope: typeof chooseAffinityScope | undefined;
	/** The other entry instances whose loads an instance receives: none, its load-sharing peers, all by the digest of control instances, or all at once. */
	readonly knownLoads: 'none' | 'near' | 'digest' | 'all';
	/** The share of the messages of the digest that are lost; 0 by default. */
	readonly digestLossRate?: number;
	/** The time without any control instance, in which the loads of the peers take over from the digest; none by default. */
	readonly digestOutage?: DigestOutage;
	/** Whether latencies are estimated in proportion to the prompt length. */
	readonly scalesWithPrompt: boolean;
	/** Whether a request is moved to another server if its server does not respond in time. */
	readonly abandonsSilentServers: boolean;
	/** Whether a low-confidence response escalates to a larger model. */
	readonly escalates: boolean;
};
