import {randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Settings} from '@valehitch/settings';
import {type HttpServer, PeerNetwork, startHttpServer} from '@valehitch/transport';
import type Logger from 'bunyan';
import {match} from 'ts-pattern';
import {handleBackend} from './backends/handle-backend.js';
import {type ControlPart, startControl} from './control/start-control.js';
import {type LeaderTasks, startLeaderTasks} from './control/leader-tasks.js';
import {type DaemonBase} from './daemon-base.js';
import {type DistributionPart, startDistribution} from './distribution/start-distribution.js';
import {EventRing} from './event-ring.js';
import {handleCaller} from './entry/handle-caller.js';
import {type EntryPart, startEntry} from './entry/start-entry.js';
import {type PeerMessage} from './messages.js';
import {openMetrics} from './metrics.js';
import {handleOperator} from './operators/handle-operator.js';
import {startRatings} from './ratings/start-ratings.js';
import {systemClock} from './system-clock.js';
import {Timeline} from './timeline.js';

/** A running daemon. */
export type Daemon = {
	/** Refuses new requests, waits up to `shutdownMilliseconds` for those in progress, then closes all connections and files. */
	readonly stop: () => Promise<void>;
};

/** The part of a planned stop in which the last answers are written, in milliseconds: a process with a small share of a core has time to write them before its connections are closed. */
const answerMarginMilliseconds = 300;

type Components = {
	control?: ControlPart;
	distribution?: DistributionPart;
	entry?: EntryPart;
	tasks?: LeaderTasks;
};

/**
Starts a daemon: creates all components from the settings and connects them with each other.

@param settings The settings.
@param log The logger.
@returns The running daemon.
@throws If a port cannot be opened.
@example
```ts
const daemon = await startDaemon(settings, log);
await daemon.stop();
```
*/
export async function startDaemon(settings: Settings, log: Logger): Promise<Daemon> {
	const components: Components = {};
	const base = await startBase(settings, log, components);
	const control = await startControl(base);
	components.control = control;
	const distribution = startDistribution(base, control);
	components.distribution = distribution;
	const tasks = startLeaderTasks(base, {control, distribution});
	components.tasks = tasks;
	const ratings = startRatings(base, {configuration: distribution.effective, exchange: tasks.exchange});
	const entry = startEntry(base, {control: control.client, distribution, ratings: ratings.tracker});
	components.entry = entry;
	const httpServers = await startHttpServers(settings, log, {
		callers: async (request, response) => handleCaller(request, response, entry.context),
		backends: async (request, response) => handleBackend(request, response, {settings, onAnnouncement: distribution.announce, onRatings: ratings.recordRatings}),
		operators: async (request, response) => handleOperator(request, response, {
			base, control: control.client, distribution, entry: entry.context,
		}),
	});
	base.timeline.record('instance-started');
	return {
		async stop() {
			base.timeline.record('instance-stopping');
			distribution.drain();
			const {shutdownMilliseconds} = settings.timing;
			const answersDueAt = base.clock.monotonic() + Math.max(0, shutdownMilliseconds - answerMarginMilliseconds);
			await Promise.race([entry.stop(answersDueAt), sleep(shutdownMilliseconds)]);
			entry.close();
			for (const httpServer of httpServers) {
				await httpServer.close();
			}

			ratings.stop();
			tasks.stop();
			distribution.stop();
			await control.stop();
			base.timeline.record('instance-stopped');
			await base.network.close();
			base.metrics.close();
		},
	};
}

async function startBase(settings: Settings, log: Logger, components: Components): Promise<DaemonBase> {
	const {instance, zone} = settings;
	const clock = systemClock;
	const events = new EventRing();
	const timeline = new Timeline({
		clock,
		instance,
		zone,
		write(event) {
			events.add(event);
			log.info({timeline: event}, event.event);
		},
	});
	const metrics = await openMetrics(settings.metrics, error => {
		log.warn({err: error}, 'Failed to send metrics');
	});
	const network = await PeerNetwork.listen<PeerMessage>({
		self: instance,
		key: settings.keys.peers,
		...settings.listen.peers,
		onMessage: async (_from, message) => handlePeerMessage(message, components),
		onRequest: async (_from, message) => handlePeerMessage(message, components),
		isTunnelAllowed: (_from, target) => components.entry?.mayRelay(target) === true,
		recordTunnelTarget: (target, isOpen) => components.entry?.recordTunnelTarget(target, isOpen) ?? true,
		onHandlerError(from, error) {
			log.error({err: error, from}, 'Failed to handle a peer message');
		},
		nextTimestamp: () => timeline.nextTimestamp(),
		onTimestamp(stamp) {
			timeline.observeTimestamp(stamp);
		},
	});
	const self = {
		instance, zone, host: settings.listen.peers.host, port: network.port,
	};
	return {
		settings, clock, random: Math.random, log, timeline, events, metrics, network, self, newId: randomUUID,
	};
}

async function handlePeerMessage(message: PeerMessage, {control, distribution, entry, tasks}: Components): Promise<unknown> {
	return match(message)
		.with({scope: 'control'}, async request => control?.answer(request))
		.with({scope: 'distribution'}, async request => distribution?.answer(request))
		.with({scope: 'entry'}, async request => entry?.answer(request))
		.with({scope: 'ratings'}, async ({summary}) => tasks?.mergeSummary(summary))
		.exhaustive();
}

type RequestHandlers = Readonly<Record<'callers' | 'backends' | 'operators', (request: IncomingMessage, response: ServerResponse) => Promise<void>>>;

async function startHttpServers(settings: Settings, log: Logger, handlers: RequestHandlers): Promise<HttpServer[]> {
	const httpServers: HttpServer[] = [];
	for (const name of ['callers', 'backends', 'operators'] as const) {
		httpServers.push(await startHttpServer({
			...settings.listen[name],
			headerBytes: settings.limits.headerBytes,
			handler: handlers[name],
			onError(error) {
				log.error({err: error, port: name}, 'The handler of an HTTP request failed');
			},
		}));
	}

	return httpServers;
}

async function sleep(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds).unref();
	});
}
