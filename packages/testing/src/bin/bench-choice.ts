/**
Measures the processor time of choosing a version and the heap size of a quality estimate. Usage: `node --expose-gc bench-choice.js`.

@module
*/
import process from 'node:process';
import {
	type EffectiveConfiguration, type InstanceId, type ModelId, type ModelRequest, type PolicyRule, type RequestId, toId, toRevision, type VersionConfiguration, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import {chooseVersion, QualityStore, type QualityKey} from '@valehitch/policy';

const rounds = 20_000;
const sizes = [2, 4, 8, 16] as const;
const estimateCounts = [1000, 2000, 4000, 8000] as const;
const workspace = toId<WorkspaceId>('yard');

function configurationOf(count: number): EffectiveConfiguration {
	const versions = Object.fromEntries(Array.from({length: count}, (_, index): [string, VersionConfiguration] => [
		`v${index}`, {state: 'settled', quality: 0.7 + (0.29 * index / count), prices: {input: index + 1, output: index + 1}},
	]));
	return {
		revision: toRevision(1),
		document: {
			models: {[toId<ModelId>('m')]: {versions}},
			services: {},
			workspaces: {
				[workspace]: {
					keyDigests: [], weight: 1, allowed: {[toId<ModelId>('m')]: Object.keys(versions).map(version => toId<VersionId>(version))}, services: [], policy: [],
				},
			},
		},
		rollouts: {},
	};
}

function ruleOf(withCascades: boolean): PolicyRule {
	return {
		name: 'lookup',
		models: [toId<ModelId>('m')],
		qualityTarget: 0.8,
		deadlineMilliseconds: 1000,
		priority: 5,
		...(withCascades && {
			escalation: {
				signs: ['truncated'], minimumConfidence: 0.5, expectedShare: 0.3, acceptedQuality: 0.9,
			},
		}),
	};
}

const request: ModelRequest = {
	id: toId<RequestId>('r1'),
	workspace,
	facts: {
		class: 'lookup', model: 'auto', stream: false, promptTokens: 100, maxTokens: 100, session: false,
	},
};

for (const withCascades of [false, true]) {
	for (const size of sizes) {
		const book = new QualityStore({instance: toId<InstanceId>('i'), startedAt: 0});
		const options = {
			configuration: configurationOf(size),
			rule: ruleOf(withCascades),
			isServed: () => true,
			quality: (key: QualityKey, prior: Parameters<typeof book.estimate>[1]['prior']) => book.estimate(key, {prior, now: 0}),
		};
		const cpuBefore = process.cpuUsage();
		for (let round = 0; round < rounds; round += 1) {
			chooseVersion(request, options);
		}

		const {user, system} = process.cpuUsage(cpuBefore);
		console.log(`${size} versions${withCascades ? ' with cascades' : ''}: ${((user + system) / rounds).toFixed(1)} microseconds of processor time per choice`);
	}
}

for (const size of estimateCounts) {
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const book = new QualityStore({instance: toId<InstanceId>('i'), startedAt: 0});
	for (let index = 0; index < size; index += 1) {
		book.add({
			model: toId<ModelId>('m'), version: toId<VersionId>('v'), qualityClass: `${workspace}/rule-${index}`, measure: 'rating', value: 0.5, ranAt: 0,
		});
	}

	globalThis.gc?.();
	console.log(`${size} estimates: ${((process.memoryUsage().heapUsed - before) / size).toFixed(0)} bytes each (${book.size} stored)`);
}
