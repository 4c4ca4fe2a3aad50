import {chooseAffinityScope} from '@valehitch/routing';
import {type SimulationPolicy} from './simulation-policy.js';

/** The policy that the product implements. */
export const productPolicy: SimulationPolicy = {
	name: 'product policy', chooseAffinityScope, knownLoads: 'near', scalesWithPrompt: true, abandonsSilentServers: true, escalates: true,
};

/** The product's policy, and variants of it with mechanisms disabled or replaced. */
export const policyVariants: readonly SimulationPolicy[] = [
	productPolicy,
	{...productPolicy, name: 'no prompt affinity', chooseAffinityScope: undefined},
	{...productPolicy, name: 'prompt affinity per zone', chooseAffinityScope: () => 'zone'},
	{...productPolicy, name: 'prompt affinity over all zones', chooseAffinityScope: () => 'all'},
	{...productPolicy, name: 'no shared loads', knownLoads: 'none'},
	{...productPolicy, name: 'loads shared by all', knownLoads: 'all'},
	{
		...productPolicy, name: 'affinity over zones, all loads', chooseAffinityScope: () => 'all', knownLoads: 'all',
	},
	{
		...productPolicy, name: 'no affinity, all loads', chooseAffinityScope: undefined, knownLoads: 'all',
	},
	{...productPolicy, name: 'no prompt-length scaling', scalesWithPrompt: false},
	{...productPolicy, name: 'no retry on silent servers', abandonsSilentServers: false},
	{...productPolicy, name: 'no escalation', escalates: false},
];
