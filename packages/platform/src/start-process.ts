import {randomUUID} from 'node:crypto';
import {createServer, type Server} from 'node:http';
import path from 'node:path';
import {type Clock, failure, type InstanceId} from '@valehitch/core';
import {
	type BorrowReply, ControlInstance, createDecisionLog, createGatewayMetrics, type DecisionLog, EntryInstance, type GatewayMetrics,
	InspectionHandler, type ListenAddress, openBoundedOutput, type PeerMessage, createSavedList, serverRecordSchema, suspectRecordSchema, type WatchReply, type WorkReply,
} from '@valehitch/gateway';
import {openDataFolder, AtomicFile} from '@valehitch/storage';
import {
	PeerNetwork, limitUnreadBody, sendProblem, startHttpServer,
} from '@valehitch/transport';
import {Right} from 'purify-ts';
import {decodeConfiguration} from './decode-configuration.js';
import {handleControl} from './handle-control.js';
import {platformDialect} from './platform-dialect.js';
import {type PlatformSettings} from './platform-settings.js';
import {type SettingsProblems} from './settings-file.js';
import {stopTiming} from './stop-timing.js';

/** A running process. */
export type RunningProcess = {
	/** Applies changed settings. */
	readonly reload: (settings: PlatformSettings) => void;
	/** Logs that changed settings are invalid; the process continues with the previous ones. */
	readonly reportInvalidSettings: (problems: SettingsProblems) => void;
	/** Drains the requests in progress and shuts the process down. */
	readonly stop: () => Promise<void>;
};

/** Options that come from the deployment rather than the settings file. */
export type StartProcessOptions = {
	/** The port of the metrics endpoint; there is none by default. */
	readonly metricsPort?: number | undefined;
};

type Parts = {
	control?: ControlInstance;
	entry?: EntryInstance;
};

type ProcessContext = {
	readonly settings: () => PlatformSettings;
	readonly log: DecisionLog;
	readonly metrics: GatewayMetrics;
	readonly network: PeerNetwork<PeerMessage>;
	readonly run: string;
};

const standardOutput = 1;
/** The file in the data folder in which the directory of backend servers is saved. */
const savedServersName = 'servers.json';
/** The file in the data folder in which requests that crash servers are saved. */
const savedSuspectsName = 'suspects.json';
/** A constant, so that every instance of a deployment may connect: the platform provides no shared key. */
const peerKey = 'valehitch';
/** The heartbeat interval of peer connections, in milliseconds. A partition is detected after three intervals, well within the time that the platform allows; an instance that pauses for less than one keeps its links. */
const pingMilliseconds = 600;
const headerBytes = 32_768;
/** The margin of the lease within the revocation time, in milliseconds, for network latency of the acknowledgement and for late timers. */
const leaseMarginMilliseconds = 500;
/** The maximum duration of the lease as a share of the revocation time; the rest allows for clock drift. */
const leaseShare = 0.9;
/** The share of the time within which news has to apply for which it counts as current; the rest is left to ask for it, and to send a request that has been decided on. */
const freshShare = 0.6;
/** The shortest time for which news counts as current, in milliseconds: control instances reply to a poll within 800 ms, by a state that is confirmed every 200 ms. */
const minimumFreshMilliseconds = 1100;
/** The share of the retry budget that the instances use; the rest allows for uneven traffic. */
const usedRetryShare = 0.85;
/** The share of the limit for canary traffic that is used; the rest allows for uneven sessions. */
const usedCanaryShare = 0.6;
/** The confidence below which a request escalates to a larger model. Of the values tried, it gave the best results on calm days (docs/design/platform.md). */
const minimumConfidence = 50;
/** How long a control instance that stops waits for the requests in progress, in milliseconds; longer than a proposal to the leader may take. */
const controlCloseMilliseconds = 1000;
/** The interval at which open tunnels are counted during a shutdown, in milliseconds. */
const tunnelPollMilliseconds = 50;

/** The origin of `performance.now()` is the start of the process. */
const processStartedAt = 0;

const clock: Clock = {now: () => new Date(), monotonic: () => performance.now()};

/**
Starts a process from its settings. This is the composition root of the program.

@param settings The settings.
@param options The metrics port.
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
	const network: PeerNetwork<PeerMessage> = await PeerNetwork.listen<PeerMessage>({
		self: settings.instance,
		key: peerKey,
		...settings.peers,
		pingMilliseconds,
		onMessage: async (from, message) => handlePeerMessage(parts, from, message),
		onRequest: async (from, message) => handlePeerMessage(parts, from, message),
		isTunnelAllowed(from, target) {
			const isAllowed = parts.entry?.tunnels.mayOpen(target, {from, openTunnels: network.tunnelCount}) === true;
			metrics.relayedConnections.inc({result: isAllowed ? 'accepted' : 'refused'});
			return isAllowed;
		},
		recordTunnelTarget: (target, isOpen) => parts.entry?.tunnels.recordTarget(target, isOpen) ?? true,
		onHandlerError(from, error) {
			log('peer-message-failed', {from, reason: error instanceof Error ? error.stack ?? error.message : String(error)}, 'error');
		},
	});
	const context: ProcessContext = {
		settings: () => current, log, metrics, network, run,
	};
	const metricsServer = metricsPort === undefined ? undefined : await serveInspection(context, {parts, host: settings.peers.host, port: metricsPort});
	log('process-started', {
		process: settings.name, run, isFounding: settings.isFounding, seeds: settings.seeds, dataFolder: settings.dataFolder,
	});
	const stopParts: Array<() => Promise<void>> = [];
	if (settings.control !== undefined) {
		const started = await startControlPart(context, settings.control);
		parts.control = started.control;
		stopParts.push(started.stop);
	}

	if (settings.callers !== undefined) {
		const started = await startEntryPart(context, settings.callers);
		parts.entry = started.entry;
		stopParts.push(started.stop);
	}

	return {
		reload(next) {
			current = next;
			log('settings-reloaded', {seeds: next.seeds});
		},
		reportInvalidSettings(problems) {
			log('settings-refused', {problems}, 'warn');
		},
		async stop() {
			log('process-stopping', {grace: settings.gracePeriod});
			await Promise.all(stopParts.map(async stop => stop()));
			metricsServer?.close();
			await network.close();
			log('process-stopped', {});
			await output.flush();
		},
	};
}

/** Returns for how long an instance goes by what it has been told, in milliseconds, where news has to apply within a time. */
function currentFor(timeout: number): number {
	return Math.max(minimumFreshMilliseconds, freshShare * timeout);
}

/** Handles a message of a peer: those of entry instances go to the entry instance, all others to the control instance. */
async function handlePeerMessage({control, entry}: Parts, from: InstanceId, message: PeerMessage): Promise<unknown> {
	if (message.type === 'load' || message.type === 'server-notice' || message.type === 'relay-stopping' || message.type === 'borrow-sends') {
		return entry?.receive(from, message);
	}

	return control?.answer(from, message);
}

async function startControlPart(context: ProcessContext, listen: ListenAddress) {
	const {settings, log, network} = context;
	const {instance, zone, isFounding, heartbeatInterval, toleratedLosses, coldTolerance, gracePeriod, dataFolder = 'data'} = settings();
	const control = new ControlInstance({
		...context,
		self: instance,
		zone,
		clock,
		random: Math.random,
		isFounding,
		processStartedAt,
		seeds: () => settings().seeds,
		heartbeatMilliseconds: heartbeatInterval,
		zones: () => settings().zones,
		toleratedLosses,
		coldTolerance,
		parse: decodeConfiguration,
		// The platform starts only one process per data folder, and provides no reliable file locks.
		openFolder: async () => openDataFolder(dataFolder, {lock: async () => Right(async () => undefined)}),
		savedServers: createSavedList({
			list: 'servers', file: new AtomicFile(path.join(dataFolder, savedServersName)), log, schema: serverRecordSchema,
		}),
		savedSuspects: createSavedList({
			list: 'suspects', file: new AtomicFile(path.join(dataFolder, savedSuspectsName)), log, schema: suspectRecordSchema,
		}),
		send(to, message) {
			network.send(peerAddress(settings(), to), message);
		},
		ask: async (to, message, timeout) => requestPeer(context, to, {message, timeout}),
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
			await server.close({within: Math.min(controlCloseMilliseconds, stopTiming(gracePeriod).closeAfter)});
			await control.stop();
		},
	};
}

async function startEntryPart(context: ProcessContext, listen: ListenAddress) {
	const {settings} = context;
	const {
		instance, zone, revocationTimeout, configurationTimeout, drainTimeout, canaryShare, retryRatio, retryWindow, sessionTimeout, gracePeriod, heartbeatInterval, readiness, notedShare, heldBytes,
	} = settings();
	const entry = new EntryInstance({
		...context,
		self: instance,
		zone,
		listen,
		clock,
		random: Math.random,
		dialect: platformDialect,
		bounds: {canaryShare: usedCanaryShare * canaryShare, minimumConfidence},
		heartbeatMilliseconds: heartbeatInterval,
		leaseMilliseconds: Math.min(revocationTimeout - leaseMarginMilliseconds, leaseShare * revocationTimeout),
		freshness: {configuration: currentFor(configurationTimeout), servers: currentFor(drainTimeout)},
		sessionMilliseconds: sessionTimeout,
		retryShare: usedRetryShare * retryRatio,
		retryWindowMilliseconds: retryWindow,
		seeds: () => settings().seeds,
		ask: async (to, message, timeout) => requestPeer(context, to, {message, timeout}) as Promise<WatchReply | undefined>,
		send(to, message) {
			context.network.send(peerAddress(settings(), to), message);
		},
		reportSuspects: async (to, message, timeout) => await requestPeer(context, to, {message, timeout}) !== undefined,
		askForSends: async (to, message, timeout) => requestPeer(context, to, {message, timeout}) as Promise<BorrowReply | undefined>,
		reportWork: async (to, message, timeout) => requestPeer(context, to, {message, timeout}) as Promise<WorkReply | undefined>,
		openTunnel: async (relay, target, timeout) => context.network.openTunnel(peerAddress(settings(), relay), target, {timeoutMilliseconds: timeout}),
		wait: delay,
		parse: decodeConfiguration,
		notedShare,
		heldBytes,
	});
	await entry.start();
	const readinessServer = readiness === undefined ? undefined : await serveReadiness(entry, readiness);
	const stop = async (): Promise<void> => {
		const {closeAfter, drainAfter} = stopTiming(gracePeriod);
		const stopBy = clock.monotonic() + closeAfter;
		entry.beginStop(stopBy);
		for (const peer of context.network.tunnelPeers) {
			context.network.send(peerAddress(settings(), peer), {type: 'relay-stopping'});
		}

		await delay(drainAfter);
		await tunnelsClosed(context, stopBy);
		// Nothing is awaited between, since the instance takes requests until it closes.
		await entry.drained(stopBy);
		entry.close();
		readinessServer?.close();
	};

	return {entry, stop};
}

/** Waits until other instances have no connections to backend servers open through this one. */
async function tunnelsClosed({network}: ProcessContext, until: number): Promise<void> {
	while (network.tunnelCount > 0 && clock.monotonic() < until) {
		await delay(tunnelPollMilliseconds);
	}
}

async function serveReadiness(entry: EntryInstance, listen: ListenAddress): Promise<Server> {
	return listenOn(createServer((request, response) => {
		limitUnreadBody(response);
		request.resume();
		response.writeHead(entry.isReady ? 200 : 503, {'Content-Length': 0});
		response.end();
	}), listen);
}

async function serveInspection({metrics: {registry}, log}: ProcessContext, {parts, ...listen}: ListenAddress & {readonly parts: Parts}): Promise<Server> {
	const inspection = new InspectionHandler({
		registry, wait: delay, clock, entry: () => parts.entry?.inspection,
	});
	return listenOn(createServer((request, response) => {
		limitUnreadBody(response);
		inspection.handle(request, response).catch((error: unknown) => {
			log('request-ended', {outcome: 'internal', reason: error instanceof Error ? error.stack ?? error.message : String(error)}, 'error');
			sendProblem(response, failure('internal', 'The inspection failed'));
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

async function requestPeer({network, settings}: ProcessContext, to: InstanceId, {message, timeout}: {readonly message: PeerMessage; readonly timeout: number}): Promise<unknown> {
	const reply = await network.request(peerAddress(settings(), to), message, {timeoutMilliseconds: timeout});
	return reply.toMaybe().extractNullable() ?? undefined;
}

/** Returns the address of a peer: its id is its IP address, and all instances use the same port. */
function peerAddress({peers}: PlatformSettings, to: InstanceId) {
	return {instance: to, host: to, port: peers.port};
}

async function delay(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
