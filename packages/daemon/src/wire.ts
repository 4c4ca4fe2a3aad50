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
	/** Ends the requests in progress whole, refuses new ones and closes everything. */
	readonly stop: () => Promise<void>;
};

type Parts = {
	control?: ControlPart;
	distribution?: DistributionPart;
	entry?: EntryPart;
	tasks?: LeaderTasks;
};

/**
Builds a daemon from its settings: the one place where the parts are put together.

@param settings The settings.
@param log Where log records go.
@returns The running daemon.
@throws If a port cannot be opened.
@example
```ts
const daemon = await startDaemon(settings, log);
await daemon.stop();
```
*/
export async function startDaemon(settings: Settings, log: Logger): Promise<Daemon> {
	const parts: Parts = {};
	const base = await startBase(settings, log, parts);
	const control = await startControl(base);
	parts.control = control;
	const distribution = startDistribution(base, control);
	parts.distribution = distribution;
	const tasks = startLeaderTasks(base, {control, distribution});
	parts.tasks = tasks;
	const ratings = startRatings(base, {configuration: distribution.effective, exchange: tasks.exchange});
	const entry = startEntry(base, {control: control.client, distribution, ratings: ratings.part});
	parts.entry = entry;
	const servers = await startServers(settings, log, {
		callers: async (request, response) => handleCaller(request, response, entry.context),
		backends: async (request, response) => handleBackend(request, response, {settings, onAnnouncement: distribution.announce, onRatings: ratings.take}),
		operators: async (request, response) => handleOperator(request, response, {
			base, control: control.client, distribution, entry: entry.context,
		}),
	});
	base.timeline.record('instance-started');
	return {
		async stop() {
			base.timeline.record('instance-stopping');
			distribution.drain();
			await Promise.race([entry.stop(), elapsed(settings.timing.shutdownMilliseconds)]);
			entry.close();
			for (const server of servers) {
				await server.close();
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

async function startBase(settings: Settings, log: Logger, parts: Parts): Promise<DaemonBase> {
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
		log.warn({err: error}, 'Metrics could not be sent');
	});
	const network = await PeerNetwork.listen<PeerMessage>({
		self: instance,
		key: settings.keys.peers,
		...settings.listen.peers,
		onMessage: async (_from, message) => answerPeer(message, parts),
		onRequest: async (_from, message) => answerPeer(message, parts),
		onFailure(from, error) {
			log.error({err: error, from}, 'A peer message could not be handled');
		},
		stamp: () => timeline.stamp(),
		onStamp(stamp) {
			timeline.observe(stamp);
		},
	});
	const self = {
		instance, zone, host: settings.listen.peers.host, port: network.port,
	};
	return {
		settings, clock, random: Math.random, log, timeline, events, metrics, network, self, newId: randomUUID,
	};
}

async function answerPeer(message: PeerMessage, {control, distribution, entry, tasks}: Parts): Promise<unknown> {
	return match(message)
		.with({scope: 'control'}, async found => control?.answer(found))
		.with({scope: 'distribution'}, async found => distribution?.answer(found))
		.with({scope: 'entry'}, async found => entry?.answer(found))
		.with({scope: 'ratings'}, async ({summary}) => tasks?.takeSummary(summary))
		.exhaustive();
}

type Handlers = Readonly<Record<'callers' | 'backends' | 'operators', (request: IncomingMessage, response: ServerResponse) => Promise<void>>>;

async function startServers(settings: Settings, log: Logger, handlers: Handlers): Promise<HttpServer[]> {
	const servers: HttpServer[] = [];
	for (const name of ['callers', 'backends', 'operators'] as const) {
		servers.push(await startHttpServer({
			...settings.listen[name],
			headerBytes: settings.limits.headerBytes,
			handler: handlers[name],
			onError(error) {
				log.error({err: error, port: name}, 'A handler failed');
			},
		}));
	}

	return servers;
}

async function elapsed(milliseconds: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, milliseconds).unref();
	});
}
