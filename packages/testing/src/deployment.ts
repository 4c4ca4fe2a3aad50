import {randomUUID} from 'node:crypto';
import {mkdir, mkdtemp, readFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import * as z from 'zod';
import {prepareBackends, allocateDaemonPorts, prepareDaemon} from './_prepare-deployment.js';
import {deploymentKeys} from './_settings-file.js';
import {type DeploymentOptions, type RunningBackend, type RunningDaemon} from './deployment-plan.js';
import {callOperator} from './http-client.js';
import {type ManagedProcess} from './managed-process.js';
import {sendRequest} from './send-request.js';
import {waitUntil, type WaitOptions} from './wait-until.js';

export type * from './deployment-plan.js';

/** Length of the log excerpt in an error message. */
const logExcerptCharacters = 2000;

/** A bill of the ledger, with the members that tests read. */
export type LedgerBill = z.infer<typeof billSchema>;

/** A daemon's response to `GET /v1/status`, with the members that tests read. */
export type DaemonStatus = z.infer<typeof statusSchema>;

const billSchema = z.looseObject({
	workspace: z.string(),
	request: z.string(),
	total: z.number(),
	outcome: z.string(),
	lines: z.array(z.looseObject({server: z.string(), purpose: z.string()})),
});
const ledgerSchema = z.object({bills: z.array(billSchema), next: z.number().nullish()});
const statusSchema = z.looseObject({
	instance: z.string(), revision: z.number(), servers: z.array(z.looseObject({server: z.string()})), members: z.number(),
	traffic: z.object({bytesSent: z.number(), bytesReceived: z.number()}).optional(),
});
const committedSchema = z.object({revision: z.number()});

/**
Starts daemons and fake backend servers as processes, applies a configuration, and waits until every daemon reports that configuration, all servers and all daemons.

@param options The processes to start and the configuration to apply.
@returns The running deployment; the caller must stop it.
@throws If a step times out; all processes are stopped first.
@example
```ts
const deployment = await startDeployment({daemons, backends, configuration});
await deployment.daemons[0]?.process.kill('SIGKILL');
await deployment.stop();
```
*/
export async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
	const folder = path.resolve(options.folder ?? await mkdtemp(path.join(tmpdir(), 'valehitch-')));
	await mkdir(path.join(folder, 'data'), {recursive: true});
	const placed = await allocateDaemonPorts(options.daemons);
	const daemons = await Promise.all(placed.map(async daemon => prepareDaemon(daemon, {placed, folder, options})));
	const backends = await prepareBackends({daemons, folder, plans: options.backends});
	const deployment = new Deployment({
		folder, daemons, backends, startTimeoutMilliseconds: options.startTimeoutMilliseconds,
	});
	try {
		await deployment.start(options.configuration);
	} catch (error) {
		await deployment.stop();
		throw error;
	}

	return deployment;
}

/** Daemons and fake backend servers that run as processes; created by `startDeployment`. */
export class Deployment {
	/** Contains the settings files, the data, and the log `NAME.log` of each process. */
	readonly folder: string;
	readonly daemons: readonly RunningDaemon[];
	readonly backends: readonly RunningBackend[];
	readonly #timeoutMilliseconds: number | undefined;

	constructor(parts: {
		readonly folder: string;
		readonly daemons: readonly RunningDaemon[];
		readonly backends: readonly RunningBackend[];
		readonly startTimeoutMilliseconds?: number | undefined;
	}) {
		this.folder = parts.folder;
		this.daemons = parts.daemons;
		this.backends = parts.backends;
		this.#timeoutMilliseconds = parts.startTimeoutMilliseconds;
	}

	/** All processes, daemons first. */
	get processes(): readonly ManagedProcess[] {
		return [...this.daemons, ...this.backends].map(part => part.process);
	}

	/**
	Starts all processes and waits until requests can be served.

	@param configuration The operators' configuration document.
	*/
	async start(configuration: unknown): Promise<void> {
		for (const part of this.processes) {
			part.start();
		}

		await Promise.all(this.daemons.map(async daemon => this.waitUntilHealthy(daemon)));
		const revision = await this.apply(configuration);
		const servers = this.backends.map(({server}) => server);
		await Promise.all(this.daemons.map(async daemon => this.waitUntilReady(daemon, {revision, servers, members: this.daemons.length})));
	}

	/**
	Applies a configuration, retrying with the same change id until a daemon commits it.

	@param configuration The operators' configuration document.
	@param options The revision it replaces, 0 by default, and the daemon to call, by default the first one running.
	@returns The new revision.
	*/
	async apply(configuration: unknown, options: {readonly replaces?: number; readonly by?: RunningDaemon} = {}): Promise<number> {
		const changeId = randomUUID();
		return waitUntil(async () => {
			const daemon = options.by ?? this.#firstRunningDaemon();
			const {status, body} = await callOperator(`${daemon.operators}/v1/configuration`, {
				key: deploymentKeys.operators,
				headers: {'If-Match': `"${options.replaces ?? 0}"`, 'Valehitch-Change-Id': changeId},
				document: configuration,
			});
			if (status !== 200) {
				throw new Error(`Expected status 200, got ${status} ${JSON.stringify(body)}`);
			}

			return committedSchema.parse(body).revision;
		}, this.#waitOptions('a committed configuration'));
	}

	/**
	Waits until a daemon passes its health check.

	@param daemon The daemon.
	*/
	async waitUntilHealthy(daemon: RunningDaemon): Promise<void> {
		const {process, callers, instance} = daemon;
		try {
			await waitUntil(async () => {
				if (!process.isRunning) {
					throw new Error(`The process of ${instance} has exited`);
				}

				const {status} = await sendRequest(`${callers}/healthz`, {timeoutMilliseconds: 1000});
				return status === 200 || undefined;
			}, this.#waitOptions(`${instance} to be healthy`));
		} catch (error) {
			// The log is deleted with the deployment; without its last lines, a failure that is hard to reproduce could not be diagnosed.
			const log = await readFile(process.logFile, 'utf8');
			throw new Error(`${instance} did not become healthy; the end of its log:\n${log.slice(-logExcerptCharacters)}`, {cause: error});
		}
	}

	/**
	Waits until a daemon reports a revision, servers and members.

	@param daemon The daemon.
	@param expected The minimum revision, the servers, and the minimum number of members, 0 by default.
	*/
	async waitUntilReady(daemon: RunningDaemon, expected: {readonly revision: number; readonly servers: readonly string[]; readonly members?: number}): Promise<void> {
		await waitUntil(async () => {
			const status = await this.status(daemon);
			const reported = new Set(status.servers.map(({server}) => server));
			const missing = expected.servers.filter(server => !reported.has(server));
			if (status.revision < expected.revision || missing.length > 0 || status.members < (expected.members ?? 0)) {
				throw new Error(`Status has revision ${status.revision} and ${status.members} members; missing servers: ${missing.join(', ') || 'none'}`);
			}

			return true;
		}, this.#waitOptions(`${daemon.instance} to report revision ${expected.revision}, all servers and members`));
	}

	/**
	Fetches the status of a daemon.

	@param daemon The daemon.
	@returns The parsed status.
	*/
	async status(daemon: RunningDaemon): Promise<DaemonStatus> {
		return statusSchema.parse(await this.#get(daemon, '/v1/status'));
	}

	/**
	Reads all bills of a workspace.

	@param workspace The workspace.
	@param daemon The daemon to call; by default the first one running.
	@returns The bills in ledger order.
	*/
	async ledger(workspace: string, daemon: RunningDaemon = this.#firstRunningDaemon()): Promise<readonly LedgerBill[]> {
		return this.#ledgerAfter({workspace, daemon, after: 0});
	}

	/**
	Stops all processes with SIGTERM, the daemons before the backend servers.

	@returns The names of the processes that did not exit with code 0.
	*/
	async stop(): Promise<readonly string[]> {
		return [...await stopAll(this.daemons), ...await stopAll(this.backends)];
	}

	async #ledgerAfter({workspace, daemon, after}: {readonly workspace: string; readonly daemon: RunningDaemon; readonly after: number}): Promise<readonly LedgerBill[]> {
		const {bills, next} = ledgerSchema.parse(await this.#get(daemon, `/v1/ledger?workspace=${workspace}&after=${after}`));
		if (bills.length === 0 || typeof next !== 'number' || next <= after) {
			return bills;
		}

		return [...bills, ...await this.#ledgerAfter({workspace, daemon, after: next})];
	}

	async #get(daemon: RunningDaemon, target: string): Promise<unknown> {
		const {status, body} = await callOperator(`${daemon.operators}${target}`, {key: deploymentKeys.operators});
		if (status !== 200) {
			throw new Error(`Expected status 200 from ${daemon.instance} for ${target}, got ${status}`);
		}

		return body;
	}

	#firstRunningDaemon(): RunningDaemon {
		const daemon = this.daemons.find(candidate => candidate.process.isRunning);
		if (!daemon) {
			throw new Error('No daemon of the deployment is running');
		}

		return daemon;
	}

	#waitOptions(what: string): WaitOptions {
		return this.#timeoutMilliseconds === undefined ? {description: what} : {description: what, timeoutMilliseconds: this.#timeoutMilliseconds};
	}
}

async function stopAll(parts: ReadonlyArray<{readonly process: ManagedProcess}>): Promise<readonly string[]> {
	const names = await Promise.all(parts.map(async ({process}) => {
		const exit = await process.stop();
		return exit === undefined || exit.code === 0 ? undefined : process.name;
	}));
	return names.filter(name => name !== undefined);
}
