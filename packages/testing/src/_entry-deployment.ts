import {readFile} from 'node:fs/promises';
import {type ExecutionContext} from 'ava';
import {digestOf} from './_settings-file.js';
import {
	type BackendPlan, type Deployment, type DeploymentOptions, type RunningBackend, type RunningDaemon, startDeployment,
} from './deployment.js';
import {type Behaviour} from './behaviour.js';
import {sendRequest} from './send-request.js';
import {waitUntil} from './wait-until.js';

/** The keys of the two workspaces of an entry deployment. */
export const callerKeys = {yard: 'yard-key', mill: 'mill-key'} as const;

const firstVersion = '1.0';
const nextVersion = '1.1';
const zones = ['prairie-south-a', 'prairie-south-b', 'prairie-south-c'] as const;

/** The versions of the only model, as engines announce them. */
export const versions = {first: `tag-small@${firstVersion}`, next: `tag-small@${nextVersion}`} as const;

/** Options for `startEntryDeployment`. */
export type EntryDeploymentOptions = {
	/** Number of engines, each with both versions loaded; two by default. */
	readonly engines?: number;
	/** Number of concurrent requests per engine; 8 by default. */
	readonly capacity?: number;
	/** Settings that replace the generated ones. */
	readonly settings?: Readonly<Record<string, unknown>>;
	/** Additional environment variables of each daemon; none by default. */
	readonly environment?: DeploymentOptions['environment'];
};

/**
Returns the configuration document of an entry deployment.

@param states The states of the two versions; by default the first is settled and the next withdrawn.
@returns The document.
*/
export function entryConfiguration(states: {readonly first?: string; readonly next?: string} = {}): unknown {
	const workspace = (key: string) => ({
		keyDigests: [digestOf(key)],
		weight: 1,
		allowed: {'tag-small': [firstVersion, nextVersion]},
		services: ['labels'],
		policy: [{
			name: 'all', models: ['tag-small'], qualityTarget: 0.5, deadlineMilliseconds: 30_000, priority: 5,
		}],
	});
	const prices = {input: 1, output: 2};
	return {
		models: {
			'tag-small': {
				versions: {
					[firstVersion]: {state: states.first ?? 'settled', quality: 0.9, prices},
					[nextVersion]: {state: states.next ?? 'withdrawn', quality: 0.9, prices},
				},
			},
		},
		services: {labels: {repeatable: [{method: 'POST', path: '/lookup'}], pricePerCall: 0.5}, closed: {}},
		workspaces: {yard: workspace(callerKeys.yard), mill: {...workspace(callerKeys.mill), services: []}},
	};
}

/**
Sorts strings, so that collections can be compared regardless of order.

@param texts The strings; other values are converted.
@returns A sorted copy.
*/
export function sorted(texts: Iterable<unknown>): readonly string[] {
	return [...texts].map(String).toSorted((left, right) => left.localeCompare(right));
}

/** A deployment of three daemons, engines and a plain service, with helpers for tests. */
export class EntryDeployment {
	readonly deployment: Deployment;

	constructor(deployment: Deployment) {
		this.deployment = deployment;
	}

	/** Returns the address of a daemon's callers' endpoint. */
	callers(index: number): string {
		return this.daemon(index).callers;
	}

	daemon(index: number): RunningDaemon {
		return this.deployment.daemons[index]!;
	}

	backend(server: string): RunningBackend {
		return this.deployment.backends.find(found => found.server === server)!;
	}

	async setBehaviour(server: string, behaviour: Partial<Behaviour>): Promise<void> {
		await sendRequest(`${this.backend(server).address}/test/behaviour`, {method: 'POST', body: JSON.stringify(behaviour)});
	}

	async runs(server: string): Promise<ReadonlyArray<Readonly<Record<string, unknown>>>> {
		const {body} = await sendRequest(`${this.backend(server).address}/test/runs`);
		return JSON.parse(body) as ReadonlyArray<Readonly<Record<string, unknown>>>;
	}

	async countRuns(server: string): Promise<number> {
		const runs = await this.runs(server);
		return runs.length;
	}

	/** Returns the log lines of all daemons about a request, to diagnose failures that are hard to reproduce. */
	async readLogLines(request: string): Promise<readonly string[]> {
		const lines: string[] = [];
		for (const {process: {logFile}} of this.deployment.daemons) {
			const log = await readFile(logFile, 'utf8');
			lines.push(...log.split('\n').filter(line => line.includes(request)));
		}

		return lines;
	}

	/** Waits until the ledger has the bills of the requests, and returns all bills of workspace `yard`. */
	async bills(requests: readonly string[], by = 0): Promise<ReadonlyArray<Readonly<Record<string, unknown>>>> {
		return waitUntil(async () => {
			const bills = await this.deployment.ledger('yard', this.daemon(by));
			const known = new Set(bills.map(({request}) => request));
			const missing = requests.filter(request => !known.has(request));
			if (missing.length > 0) {
				throw new Error(`The ledger has ${bills.length} bills; bills are missing for ${missing.join(', ')}`);
			}

			return bills;
		}, {description: 'the bills', timeoutMilliseconds: 40_000});
	}
}

/**
Starts an entry deployment that is stopped when the test ends.

@param t The context of the test.
@param options The engines and settings.
@returns The deployment.
*/
export async function startEntryDeployment(t: ExecutionContext, options: EntryDeploymentOptions = {}): Promise<EntryDeployment> {
	const engines = Array.from({length: options.engines ?? 2}, (_, index): BackendPlan => ({
		server: `engine-${index + 1}`, zone: zones[index % zones.length]!, models: [versions.first, versions.next], capacity: options.capacity ?? 8,
	}));
	const deployment = await startDeployment({
		daemons: [
			{instance: 'control-a', zone: zones[0], roles: ['control', 'entry']},
			{instance: 'entry-b', zone: zones[1], roles: ['entry']},
			{instance: 'entry-c', zone: zones[2], roles: ['entry']},
		],
		backends: [...engines, {server: 'labels-1', zone: zones[0], service: 'labels'}],
		configuration: entryConfiguration(),
		settings: options.settings ?? {},
		...(options.environment !== undefined && {environment: options.environment}),
		// A long timeout, since a busy machine starts eight processes slowly.
		startTimeoutMilliseconds: 90_000,
	});
	t.teardown(async () => {
		await deployment.stop();
	});
	return new EntryDeployment(deployment);
}
