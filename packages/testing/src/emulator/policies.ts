import {chooseHomeScope} from '@valehitch/routing';
import {type DecisionPolicy} from './decision-policy.js';

/** What the product does. */
export const productPolicy: DecisionPolicy = {
	name: 'as the product decides', homeScope: chooseHomeScope, knownLoads: 'near', countsTokens: true, givesUp: true, steps: true,
};

/** The product with one mechanism taken out each, and some with another in its place. */
export const comparedPolicies: readonly DecisionPolicy[] = [
	productPolicy,
	{...productPolicy, name: 'without homes of prompts', homeScope: undefined},
	{...productPolicy, name: 'homes in each zone', homeScope: () => 'zone'},
	{...productPolicy, name: 'homes over all zones', homeScope: () => 'all'},
	{...productPolicy, name: 'without shared loads', knownLoads: 'none'},
	{...productPolicy, name: 'with the loads of all', knownLoads: 'all'},
	{
		...productPolicy, name: 'homes over all zones, loads of all', homeScope: () => 'all', knownLoads: 'all',
	},
	{
		...productPolicy, name: 'without homes, loads of all', homeScope: undefined, knownLoads: 'all',
	},
	{...productPolicy, name: 'times blind to the prompt', countsTokens: false},
	{...productPolicy, name: 'without giving servers up', givesUp: false},
	{...productPolicy, name: 'without steps to a larger model', steps: false},
];
