import {randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {
	type Announcement, type EffectiveConfiguration, emptyConfiguration, toRevision,
} from '@valehitch/core';
import {type Settings} from '@valehitch/settings';
import {type HttpServer, PeerNetwork, startHttpServer} from '@valehitch/transport';
import type Logger from 'bunyan';
import {match} from 'ts-pattern';
import {handleBackend} from './backends/handle-backend.js';
import {ControlHost} from './control/control-host.js';
import {ControlLink} from './control/control-link.js';
import {type ActiveConfiguration, activate} from './entry/active-configuration.js';
import {BillOutbox} from './entry/bill-outbox.js';
import {type EntryContext} from './entry/entry-context.js';
import {handleCaller} from './entry/handle-caller.js';
import {RequestCounter} from './entry/request-counter.js';
import {ServerTable} from './entry/server-table.js';
import {type Member, type PeerMessage, toResultReply} from './messages.js';
import {openMetrics} from './metrics.js';
import {handleOperator} from './operators/handle-operator.js';
import {systemClock} from './system-clock.js';
import {Timeline} from './timeline.js';

/** A running daemon. */
export type Daemon = {
	/** Ends the requests in progress whole, refuses new ones and closes everything. */
	readonly stop: () => Promise<void>;
};

const renewalsBeforeExpiry = 3;
const pollsPerLease = 10;
const billRetryMilliseconds = 200;

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
	const clock = systemClock;
	const {instance, zone, timing} = settings;
	const timeline = new Timeline({
		clock, instance, zone, write(event) {
			log.info({timeline: event}, event.event);
		},
	});
	const metrics = openMetrics(settings.metrics, error => {
		log.warn({error}, 'Metrics could not be sent');
	});
	const servers = new ServerTable({clock, zone, expiryMilliseconds: timing.announcementRenewMilliseconds * renewalsBeforeExpiry});
	const requests = new RequestCounter();
	const isHost = settings.control[0]?.instance === instance;
	const host = isHost ? new ControlHost({clock, timeline, leaseMilliseconds: timing.configurationLeaseMilliseconds}) : undefined;
	let active: ActiveConfiguration | undefined;

	const network = await PeerNetwork.listen<PeerMessage>({
		self: instance,
		key: settings.keys.peers,
		...settings.listen.peers,
		onMessage(_from, message) {
			if (message.type === 'announcement') {
				takeAnnouncement(message.announcement);
			}
		},
		onRequest: async (_from, message) => answerPeer(message, host),
	});
	const self: Member = {
		instance, zone, host: settings.listen.peers.host, port: network.port,
	};
	const control = new ControlLink({
		network,
		self,
		control: settings.control[0] ?? self,
		pollMilliseconds: timing.configurationLeaseMilliseconds / pollsPerLease,
		onConfiguration,
	});
	const bills = new BillOutbox({propose: async command => control.propose(command), timeline, retryMilliseconds: billRetryMilliseconds});
	const entry: EntryContext = {
		settings, clock, timeline, metrics, servers, bills, requests, active: () => active, newId: randomUUID,
	};

	function onConfiguration(effective: EffectiveConfiguration): void {
		activate(effective).caseOf({
			Left(failed) {
				log.error({failure: failed}, 'The configuration could not be put in force');
			},
			Right(next) {
				active = next;
				timeline.record('configuration-in-force', {revision: effective.revision});
			},
		});
	}

	function takeAnnouncement(announcement: Announcement): boolean {
		const known = servers.current().some(server => server.announcement.server === announcement.server);
		const isNews = servers.take(announcement);
		if (isNews && !known) {
			timeline.record('server-joined', {server: announcement.server});
		}

		return isNews;
	}

	function spreadAnnouncement(announcement: Announcement): void {
		if (!takeAnnouncement(announcement)) {
			return;
		}

		for (const member of control.members) {
			if (member.instance !== instance) {
				network.send(member, {type: 'announcement', announcement});
			}
		}
	}

	const httpServers = await startServers(settings, log, {
		callers: async (request, response) => handleCaller(request, response, entry),
		backends: async (request, response) => handleBackend(request, response, {settings, onAnnouncement: spreadAnnouncement}),
		operators: async (request, response) => handleOperator(request, response, {
			settings, control, servers, requests, effective: () => active?.effective ?? {revision: toRevision(0), document: emptyConfiguration, rollouts: {}},
		}),
	});
	control.start();
	timeline.record('instance-started');

	return {
		async stop() {
			timeline.record('instance-stopping');
			await Promise.race([requests.stop(), new Promise(resolve => {
				setTimeout(resolve, timing.shutdownMilliseconds).unref();
			})]);
			for (const server of httpServers) {
				await server.close();
			}

			control.stop();
			timeline.record('instance-stopped');
			await network.close();
			metrics.close();
		},
	};
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

function answerPeer(message: PeerMessage, host: ControlHost | undefined): unknown {
	if (host === undefined) {
		return undefined;
	}

	return match(message)
		.with({type: 'subscribe'}, subscribe => host.subscribe(subscribe))
		.with({type: 'propose'}, ({command}) => toResultReply(host.propose(command)))
		.with({type: 'in-force'}, () => host.inForce())
		.with({type: 'ledger'}, question => host.ledger(question))
		.with({type: 'announcement'}, () => undefined)
		.exhaustive();
}
