import {digestOf} from '../_settings-file.js';
import {type BackendPlan, type DaemonPlan} from '../deployment.js';
import {
	type EngineSpeed, type RequestKind, type Workload, type WorkloadWorkspace,
} from './workload.js';

/** The parameters from which a workload is derived. */
type WorkloadParameters = {
	readonly name: string;
	readonly zones: readonly string[];
	readonly small: string;
	readonly large: string;
	readonly smallEngines: number;
	readonly largeEngines: number;
	readonly service: string;
	readonly servicePath: string;
	readonly kinds: readonly RequestKind[];
	readonly requestsPerSecond: number;
};

const serviceInstances = 3;
const daemonCount = 7;
const controlCount = 3;
const smallQualityTarget = 0.8;
const largeQualityTarget = 0.9;
// Ten workspaces, three of them large.
const workspaceShares = [0.3, 0.2, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05] as const;
const smallPrices = {input: 0.1, output: 0.4} as const;
const largePrices = {input: 3, output: 12} as const;
const smallSpeed: EngineSpeed = {
	firstTokenMilliseconds: 80, tokenMilliseconds: 15, answerTokens: 24, fullSpeedRequests: 4,
};
const largeSpeed: EngineSpeed = {
	firstTokenMilliseconds: 200, tokenMilliseconds: 20, answerTokens: 48, fullSpeedRequests: 8,
};

const couleeFlats = workloadOf({
	name: 'coulee-flats',
	zones: ['prairie-south-a', 'prairie-south-b', 'prairie-south-c'],
	small: 'tag-small',
	large: 'reconcile-large',
	smallEngines: 8,
	largeEngines: 5,
	service: 'records',
	servicePath: '/labels',
	kinds: [
		{
			class: 'lookup', share: 0.6, form: 'streamed', promptWords: 40, maxTokens: 24, qualityTarget: smallQualityTarget, deadlineMilliseconds: 2000,
		},
		{
			class: 'history', share: 0.1, form: 'streamed', promptWords: 200, maxTokens: 48, qualityTarget: largeQualityTarget, deadlineMilliseconds: 6000,
		},
		{
			class: 'reconcile', share: 0.15, form: 'whole', promptWords: 300, maxTokens: 48, qualityTarget: largeQualityTarget, deadlineMilliseconds: 6000,
		},
		{
			class: 'label', share: 0.15, form: 'call', promptWords: 10, maxTokens: 1, qualityTarget: 0, deadlineMilliseconds: 1000,
		},
	],
	requestsPerSecond: 50,
});

const glasblik = workloadOf({
	name: 'glasblik',
	zones: ['nl-oost-a', 'nl-oost-b', 'nl-oost-c'],
	small: 'annotate-small',
	large: 'explain-large',
	smallEngines: 5,
	largeEngines: 3,
	service: 'terminals',
	servicePath: '/acknowledgements',
	kinds: [
		{
			class: 'annotation', share: 0.55, form: 'whole', promptWords: 60, maxTokens: 24, qualityTarget: smallQualityTarget, deadlineMilliseconds: 2000,
		},
		{
			class: 'explanation', share: 0.1, form: 'streamed', promptWords: 200, maxTokens: 48, qualityTarget: largeQualityTarget, deadlineMilliseconds: 6000,
		},
		{
			class: 'summary', share: 0.1, form: 'whole', promptWords: 400, maxTokens: 48, qualityTarget: largeQualityTarget, deadlineMilliseconds: 8000,
		},
		{
			class: 'acknowledgement', share: 0.25, form: 'call', promptWords: 10, maxTokens: 1, qualityTarget: 0, deadlineMilliseconds: 1000,
		},
	],
	requestsPerSecond: 35,
});

/** The workloads to measure, at request rates that one machine can run. */
export const workloads: readonly Workload[] = [couleeFlats, glasblik];

function workloadOf(parameters: WorkloadParameters): Workload {
	const {
		name, small, large, service, servicePath, kinds, requestsPerSecond,
	} = parameters;
	const settled = `${small}@1.0`;
	const degraded = `${small}@1.1`;
	const best = `${large}@2.0`;
	const workspaces = workspaceShares.map((share, index) => ({name: `desk-${index + 1}`, key: `${name}-key-${index + 1}`, share}));
	return {
		name,
		service,
		servicePath,
		kinds,
		workspaces,
		requestsPerSecond,
		smallModel: small,
		degradedVersion: degraded,
		daemons: daemonsOf(parameters),
		backends: backendsOf(parameters),
		configuration: configurationOf(parameters, workspaces),
		qualities: {[settled]: 0.83, [degraded]: 0.86, [best]: 0.95},
		prices: {[settled]: smallPrices, [degraded]: smallPrices, [best]: largePrices},
		speeds: {[small]: smallSpeed, [large]: largeSpeed},
	};
}

function daemonsOf({zones}: WorkloadParameters): readonly DaemonPlan[] {
	return Array.from({length: daemonCount}, (_, index) => ({
		instance: `entry-${index + 1}`,
		zone: zones[index % zones.length] ?? '',
		roles: index < controlCount ? ['control', 'entry'] : ['entry'],
	}));
}

function backendsOf({zones, small, large, smallEngines, largeEngines, service}: WorkloadParameters): readonly BackendPlan[] {
	const zoneOf = (index: number) => zones[index % zones.length] ?? '';
	return [
		...Array.from({length: smallEngines}, (_, index) => ({
			server: `small-${index + 1}`, zone: zoneOf(index), models: [`${small}@1.0`, `${small}@1.1`], capacity: smallSpeed.fullSpeedRequests,
		})),
		...Array.from({length: largeEngines}, (_, index) => ({
			server: `large-${index + 1}`, zone: zoneOf(index + 1), models: [`${large}@2.0`], capacity: largeSpeed.fullSpeedRequests,
		})),
		...Array.from({length: serviceInstances}, (_, index) => ({server: `${service}-${index + 1}`, zone: zoneOf(index), service})),
	];
}

function configurationOf({small, large, service, kinds}: WorkloadParameters, workspaces: readonly WorkloadWorkspace[]): unknown {
	const policy = kinds.filter(({form}) => form !== 'call').map(kind => ({
		name: kind.class,
		when: `request.class == "${kind.class}"`,
		models: [small, large],
		qualityTarget: kind.qualityTarget,
		deadlineMilliseconds: kind.deadlineMilliseconds,
		priority: kind.qualityTarget > smallQualityTarget ? 5 : 2,
	}));
	return {
		models: {
			// Both versions are settled, so the degraded version already has all of its traffic when it degrades. The newer version is listed first.
			[small]: {
				versions: {
					1.1: {
						state: 'settled', quality: 0.85, prices: smallPrices, replaces: '1.0',
					}, '1.0': {state: 'settled', quality: 0.82, prices: smallPrices},
				},
			},
			[large]: {versions: {'2.0': {state: 'settled', quality: 0.95, prices: largePrices}}},
		},
		services: {[service]: {repeatable: [], pricePerCall: 0.0001}},
		workspaces: Object.fromEntries(workspaces.map(({name, key}) => [name, {
			keyDigests: [digestOf(key)], allowed: {[small]: ['1.1', '1.0'], [large]: ['2.0']}, services: [service], policy,
		}])),
	};
}
