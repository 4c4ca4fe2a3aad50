import {chooseHomeScope} from '@valehitch/routing';
import {type DecisionPolicy} from './decision-policy.js';

/** The policy that the product implements. */
export const productPolicy: DecisionPolicy = {
	name: 'product policy', homeScope: chooseHomeScope, knownLoads: 'near', countsTokens: true, givesUp: true, steps: true,
};

/** The product's policy, and variants of it with mechanisms disabled or replaced. */
export const comparedPolicies: readonly DecisionPolicy[] = [
	productPolicy,
	{...productPolicy, name: 'no prompt affinity', homeScope: undefined},
	{...productPolicy, name: 'prompt affinity per zone', homeScope: () => 'zone'},
	{...productPolicy, name: 'prompt affinity over all zones', homeScope: () => 'all'},
	{...productPolicy, name: 'no shared loads', knownLoads: 'none'},
	{...productPolicy, name: 'loads shared by all', knownLoads: 'all'},
	{
		...productPolicy, name: 'affinity over zones, all loads', homeScope: () => 'all', knownLoads: 'all',
	},
	{
		...productPolicy, name: 'no affinity, all loads', homeScope: undefined, knownLoads: 'all',
	},
	{...productPolicy, name: 'no prompt-length scaling', countsTokens: false},
	{...productPolicy, name: 'no retry on silent servers', givesUp: false},
	{...productPolicy, name: 'no escalation', steps: false},
];
