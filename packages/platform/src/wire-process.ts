import {randomUUID} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import path from 'node:path';
import {type Clock, type InstanceId} from '@valehitch/core';
import {
	ControlInstance, createDecisionLog, createGatewayMetrics, type DecisionLog, EntryInstance, type GatewayMetrics,
	type ListenAddress, openBoundedOutput, type PeerMessage, saveList, serverRecordSchema, suspectRecordSchema, type WatchReply,
} from '@valehitch/gateway';
import {openDataFolder, SmallFile} from '@valehitch/storage';
import {PeerNetwork, startHttpServer} from '@valehitch/transport';
import {Right} from 'purify-ts';
import {decodeConfiguration} from './decode-configuration.js';
import {handleControl} from './handle-control.js';
import {platformDialect} from './platform-dialect.js';
import {type PlatformSettings} from './platform-settings.js';
import {type SettingsProblems} from './settings-file.js';

/** A running process. */
export type RunningProcess = {
	/** Takes settings that changed. */
	readonly reload: (settings: PlatformSettings) => void;
	/** Notes that changed settings could not be taken; the process goes on with those that it has. */
	readonly keepSettings: (problems: SettingsProblems) => void;
	/** Ends the requests in progress and everything else. */
	readonly stop: () => Promise<void>;
};

/** What the deploy file decides, and not the settings. */
export type StartProcessOptions = {
	/** The port of the metrics; none are served unless given. */
	readonly metricsPort?: number | undefined;
};

type Parts = {
	control?: ControlInstance;
	entry?: EntryInstance;
};

type Base = {
	readonly settings: () => PlatformSettings;
	readonly log: DecisionLog;
	readonly metrics: GatewayMetrics;
	readonly network: PeerNetwork<PeerMessage>;
	readonly run: string;
};

const standardOutput = 1;
/** The file in the data folder that the directory of backend servers is saved in. */
const savedServersName = 'servers.json';
/** The same for the requests that end servers. */
const savedSuspectsName = 'suspects.json';
/** Every instance of a deployment may connect; the platform has no key that all share. */
const peerKey = 'valehitch';
/** A cut is noticed after two of these, well within the time that the platform allows. */
const pingMilliseconds = 700;
const headerBytes = 32_768;
/** The part of the revocation time that is left for the acknowledgement's way and for timers that fire late. */
const leaseMarginMilliseconds = 500;
/** The lease leaves room for the slack of the clock as a share of the revocation time. */
const leaseShare = 0.9;
/** The part of the retry budget that the instances use; the rest covers uneven traffic. */
const retryBudgetShare = 0.85;
/** The part of the bound on a version on trial that is used; the rest covers uneven sessions. */
const canaryShare = 0.6;
/** Below this confidence a larger model is asked; of the values tried, the best on the calm days (docs/design/platform.md). */
const leastConfidence = 50;
/** The balancer asks once a second and takes an instance out after two misses. */
const takenOutMilliseconds = 2600;
/** The time that is left of the grace period for closing. */
const closeMarginMilliseconds = 700;

/** The origin of `performance.now()` is the start of the process. */
const processStartedAt = 0;

const clock: Clock = {now: () => new Date(), monotonic: () => performance.now()};

/**
Builds a process from its settings: the one place where the parts are put together.

@param settings The settings.
@param options Where metrics are served.
@returns The running process.
@throws If a port cannot be opened.
@example
```ts
const running = await startProcess(settings);
```
*/
export async function startProcess(settings: PlatformSettings, {metricsPort}: StartProcessOptions = {}): Promise<RunningProcess> {
	let current = settings;
	const run = randomUUID();
	const output = openBoundedOutput(standardOutput);
	const log = createDecisionLog('valehitch', {clock, output, fields: {instance: settings.instance, zone: settings.zone}});
	const metrics = createGatewayMetrics();
	const parts: Parts = {};
	const network = await PeerNetwork.listen<PeerMessage>({
		self: settings.instance,
		key: peerKey,
		...settings.peers,
		pingMilliseconds,
		onMessage: async (from, message) => answerPeer(parts, from, message),
		onRequest: async (from, message) => answerPeer(parts, from, message),
		onFailure(from, error) {
			log('peer-message-failed', {from, reason: error instanceof Error ? error.stack ?? error.message : String(error)}, 'error');
		},
	});
	const base: Base = {
		settings: () => current, log, metrics, network, run,
	};
	const metricsServer = metricsPort === undefined ? undefined : await serveMetrics(metrics, {host: settings.peers.host, port: metricsPort});
	log('process-started', {
		process: settings.name, run, isFounding: settings.isFounding, seeds: settings.seeds, dataFolder: settings.dataFolder,
	});
	const stopParts: Array<() => Promise<void>> = [];
	if (settings.control !== undefined) {
		const started = await startControlPart(base, settings.control);
		parts.control = started.control;
		stopParts.push(started.stop);
	}

	if (settings.callers !== undefined) {
		const started = await startEntryPart(base, settings.callers);
		parts.entry = started.entry;
		stopParts.push(started.stop);
	}

	return {
		reload(next) {
			current = next;
			log('settings-reloaded', {seeds: next.seeds});
		},
		keepSettings(problems) {
			log('settings-refused', {problems}, 'warn');
		},
		async stop() {
			log('process-stopping', {grace: settings.grace});
			await Promise.all(stopParts.map(async stop => stop()));
			metricsServer?.close();
			await network.close();
			log('process-stopped', {});
			await output.flush();
		},
	};
}

/** Control instances answer everything but loads, which concern entry instances only. */
async function answerPeer({control, entry}: Parts, from: InstanceId, message: PeerMessage): Promise<unknown> {
	if (message.type === 'load') {
		entry?.receive(from, message);
		return undefined;
	}

	return control?.answer(from, message);
}

async function startControlPart(base: Base, listen: ListenAddress) {
	const {settings, log, network} = base;
	const {instance, isFounding, heartbeat, dataFolder = 'data'} = settings();
	const control = new ControlInstance({
		...base,
		self: instance,
		clock,
		random: Math.random,
		isFounding,
		processStartedAt,
		seeds: () => settings().seeds,
		heartbeatMilliseconds: heartbeat,
		// The platform starts one process for a folder, and knows no locks that hold.
		openFolder: async () => openDataFolder(dataFolder, {lock: async () => Right(async () => undefined)}),
		savedServers: saveList({
			list: 'servers', file: new SmallFile(path.join(dataFolder, savedServersName)), log, schema: serverRecordSchema,
		}),
		savedSuspects: saveList({
			list: 'suspects', file: new SmallFile(path.join(dataFolder, savedSuspectsName)), log, schema: suspectRecordSchema,
		}),
		send(to, message) {
			network.send(peerAddress(settings(), to), message);
		},
		ask: async (to, message, timeout) => askPeer(base, to, {message, timeout}),
	});
	await control.start();
	const server = await startHttpServer({
		...listen,
		headerBytes,
		handler: async (request, response) => handleControl(control, request, response),
		onError(error) {
			log('request-ended', {outcome: 'internal', reason: error instanceof Error ? error.stack ?? error.message : String(error)}, 'error');
		},
	});
	return {
		control,
		async stop() {
			server.destroy();
			await control.stop();
		},
	};
}

async function startEntryPart(base: Base, listen: ListenAddress) {
	const {settings} = base;
	const {instance, zone, revocation, canaryShare: bound, retryShare, retryWindow, sessionTimeout, grace, readiness} = settings();
	const entry = new EntryInstance({
		...base,
		self: instance,
		zone,
		listen,
		clock,
		random: Math.random,
		dialect: platformDialect,
		bounds: {canaryShare: canaryShare * bound, leastConfidence},
		leaseMilliseconds: Math.min(revocation - leaseMarginMilliseconds, leaseShare * revocation),
		sessionMilliseconds: sessionTimeout,
		retryShare: retryBudgetShare * retryShare,
		retryWindowMilliseconds: retryWindow,
		seeds: () => settings().seeds,
		ask: async (to, message, timeout) => askPeer(base, to, {message, timeout}) as Promise<WatchReply | undefined>,
		send(to, message) {
			base.network.send(peerAddress(settings(), to), message);
		},
		tell: async (to, message, timeout) => await askPeer(base, to, {message, timeout}) !== undefined,
		wait: elapsed,
		parse: decodeConfiguration,
	});
	await entry.start();
	const readinessServer = readiness === undefined ? undefined : await serveReadiness(entry, readiness);
	const stop = async (): Promise<void> => {
		const stopBy = clock.monotonic() + grace - closeMarginMilliseconds;
		entry.beginStop(stopBy);
		await elapsed(Math.min(takenOutMilliseconds, grace - closeMarginMilliseconds));
		await entry.drained(stopBy);
		entry.close();
		readinessServer?.close();
	};

	return {entry, stop};
}

async function serveReadiness(entry: EntryInstance, listen: ListenAddress): Promise<Server> {
	return listenOn(createServer((request, response) => {
		request.resume();
		response.writeHead(entry.isReady ? 200 : 503, {'Content-Length': 0});
		response.end();
	}), listen);
}

async function serveMetrics({registry}: GatewayMetrics, listen: ListenAddress): Promise<Server> {
	return listenOn(createServer((request, response) => {
		request.resume();
		void registry.metrics().then(text => {
			response.writeHead(200, {'Content-Type': registry.contentType});
			response.end(text);
		});
	}), listen);
}

async function listenOn(server: Server, {host, port}: ListenAddress): Promise<Server> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return server;
}

async function askPeer({network, settings}: Base, to: InstanceId, {message, timeout}: {readonly message: PeerMessage; readonly timeout: number}): Promise<unknown> {
	const reply = await network.request(peerAddress(settings(), to), message, {timeoutMilliseconds: timeout});
	return reply.toMaybe().extractNullable() ?? undefined;
}

/** The port of the peers is the same on all instances, and an instance is named by its address. */
function peerAddress({peers}: PlatformSettings, to: InstanceId) {
	return {instance: to, host: to, port: peers.port};
}

async function elapsed(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
