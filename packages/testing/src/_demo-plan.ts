import {digestOf} from './_settings-file.js';
import {type BackendPlan, type DaemonPlan} from './deployment.js';
import {seededRandom} from './_seeded-random.js';

/** A request of the demo. */
export type DemoRequest = {
	readonly kind: 'lookup' | 'reconcile' | 'turn' | 'print';
	readonly text: string;
};

/** Requests sent one after another, such as the turns of a session. */
export type DemoRequestSequence = readonly DemoRequest[];

export const workspace = 'yard';
export const workspaceKey = 'yard-key';
const seed = 20_240;
const maximumTurns = 4;
const smallSettled = '1.0';
const smallNext = '1.1';
const largeSettled = '2.0';

export const demoDaemons: readonly DaemonPlan[] = [
	{instance: 'control-a', zone: 'prairie-south-a', roles: ['control', 'entry']},
	{instance: 'control-b', zone: 'prairie-south-b', roles: ['control', 'entry']},
	{instance: 'control-c', zone: 'prairie-south-c', roles: ['control', 'entry']},
	{instance: 'entry-a', zone: 'prairie-south-a', roles: ['entry']},
	{instance: 'entry-b', zone: 'prairie-south-b', roles: ['entry']},
	{instance: 'entry-c', zone: 'prairie-south-c', roles: ['entry']},
	{instance: 'entry-d', zone: 'prairie-south-a', roles: ['entry']},
];

export const demoBackends: readonly BackendPlan[] = [
	{server: 'engine-a', zone: 'prairie-south-a', models: ['tag-small@1.0', 'tag-small@1.1']},
	{server: 'engine-b', zone: 'prairie-south-b', models: ['tag-small@1.0', 'reconcile-large@2.0']},
	{server: 'engine-c', zone: 'prairie-south-c', models: ['tag-small@1.1', 'reconcile-large@2.0']},
	{server: 'engine-d', zone: 'prairie-south-a', models: ['reconcile-large@2.0']},
	{server: 'labels-1', zone: 'prairie-south-b', service: 'labels'},
];

/** The same configuration as examples/configuration.yaml. */
export const demoConfiguration = {
	models: {
		'tag-small': {
			versions: {
				[smallSettled]: {state: 'settled', quality: 0.82, prices: {input: 0.1, output: 0.4}},
				[smallNext]: {
					state: 'rolling-out',
					quality: 0.85,
					prices: {input: 0.1, output: 0.4},
					replaces: smallSettled,
					stages: [
						{share: 0.05, minimumRatings: 50, minimumSeconds: 600},
						{share: 0.5, minimumRatings: 200, minimumSeconds: 1800},
					],
				},
			},
		},
		'reconcile-large': {
			versions: {
				[largeSettled]: {state: 'settled', quality: 0.95, prices: {input: 3, output: 12}},
			},
		},
	},
	services: {
		labels: {repeatable: [{method: 'POST', path: '/lookup'}], pricePerCall: 0.0001},
	},
	workspaces: {
		[workspace]: {
			keyDigests: [digestOf(workspaceKey)],
			weight: 1,
			allowed: {'tag-small': [smallSettled, smallNext], 'reconcile-large': [largeSettled]},
			services: ['labels'],
			policy: [
				{
					name: 'lookup',
					when: 'request.class == "lookup" && request.promptTokens < 400',
					models: ['tag-small', 'reconcile-large'],
					qualityTarget: 0.8,
					deadlineMilliseconds: 5000,
					priority: 2,
				},
				{
					name: 'otherwise', models: ['tag-small', 'reconcile-large'], qualityTarget: 0.9, deadlineMilliseconds: 60_000, priority: 5,
				},
			],
		},
	},
};

/** Plans the given number of requests; the plan is the same in every run. */
export function planRequestSequences(count: number): readonly DemoRequestSequence[] {
	const random = seededRandom(seed);
	const sequences: DemoRequestSequence[] = [];
	for (let planned = 0; planned < count;) {
		const sequence = planRequestSequence(random, planned).slice(0, count - planned);
		sequences.push(sequence);
		planned += sequence.length;
	}

	return sequences;
}

function planRequestSequence(random: () => number, number: number): DemoRequestSequence {
	const sample = random();
	const crate = Math.floor(random() * 1000);
	if (sample < 0.5) {
		return [{kind: 'lookup', text: `Tag crate ${crate} of load ${number}`}];
	}

	if (sample < 0.65) {
		return [{kind: 'reconcile', text: `Reconcile load ${number} with the bill of crate ${crate}`}];
	}

	if (sample < 0.85) {
		return [{kind: 'print', text: `Crate ${crate}, load ${number}`}];
	}

	const turns = 2 + Math.floor(random() * (maximumTurns - 1));
	return Array.from({length: turns}, (_, turn) => ({kind: 'turn', text: `Question ${turn + 1} on load ${number}`}));
}
