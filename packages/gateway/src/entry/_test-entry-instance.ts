import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type Failure, type InstanceId, type ZoneId} from '@valehitch/core';
import {type ExecutionContext} from 'ava';
import {Left, Right} from 'purify-ts';
import {testConfiguration} from '../configuration/_test-configuration.js';
import {type RoutingConfiguration} from '../configuration/routing-configuration.js';
import {type WatchMessage, type WatchReply, type WorkReply} from '../control/peer-message.js';
import {type DecisionLog} from '../logs/decision-log.js';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {type ServerRecord} from '../servers/server-record.js';
import {testRequest} from './_test-request.js';
import {
	control, ignore, plainDialect,
} from './_test-run.js';
import {type Dialect} from './dialect.js';
import {type EntryInstanceOptions} from './entry-instance-options.js';
import {EntryInstance} from './entry-instance.js';

/** The time limit of each request, in milliseconds. */
const requestMilliseconds = 30_000;

/** Options of {@linkcode startTestEntry}. */
export type StartTestEntryOptions = {
	/** The servers that the control instance reports. */
	readonly records: readonly ServerRecord[];
	readonly routes: RoutingConfiguration['routes'];
	/** The services; one without a health check by default. */
	readonly services?: RoutingConfiguration['services'];
	/** The number of entry instances; 1 by default. */
	readonly entryCount?: number;
	/** The reply to reports of work; none by default. */
	readonly work?: WorkReply;
	/** The bytes that the instance may hold; no limit by default. */
	readonly heldBytes?: number;
	/** Changes of the dialect; none by default. */
	readonly dialect?: Partial<Dialect>;
	/** Receives the log lines; they are discarded by default. */
	readonly log?: DecisionLog;
	/** Called each time that a configuration is parsed; one for which it returns a failure is refused. */
	readonly onParse?: () => Failure | undefined;
	/** How long a confirmation of the configuration is valid, in milliseconds; 60,000 by default. */
	readonly leaseMilliseconds?: number;
	/** For how long the instance goes by what it was told, in milliseconds; as long as the lease by default. */
	readonly freshMilliseconds?: number;
	/** Changes the servers that the control instance reports; by default they stay the same. */
	readonly recordsOf?: () => readonly ServerRecord[];
	/** When a poll is answered; after 50 ms by default. */
	readonly beforeReply?: (message: WatchMessage) => Promise<void>;
	/** Draws the servers; always 0.5 by default. */
	readonly random?: () => number;
	/** For how long callers keep idle connections, in milliseconds; 15,000 by default. */
	readonly idleTimeout?: number;
	/** The other entry instances; none by default. */
	readonly peers?: readonly InstanceId[];
	/** Asks them for sends; by default none replies. */
	readonly askForSends?: EntryInstanceOptions['askForSends'];
	/** The rate limits of servers that the control instance reports; none by default. */
	readonly serverLimits?: WatchReply['serverLimits'];
	/** Opens tunnels through them; by default there is no peer. */
	readonly openTunnel?: EntryInstanceOptions['openTunnel'];
};

function acceptAll(): undefined {
	return undefined;
}

/** Starts an entry instance that watches one control instance, and waits until it has a configuration. */
export async function startTestEntry(t: ExecutionContext, {
	records, routes, services, entryCount = 1, work, heldBytes, dialect, log = ignore, onParse = acceptAll, leaseMilliseconds = 60_000, random = () => 0.5, idleTimeout = 15_000, peers = [],
	freshMilliseconds = leaseMilliseconds, recordsOf = () => records, beforeReply = async () => delay(50),
	askForSends = async () => undefined, serverLimits = [],
	openTunnel = async () => Left({type: 'peer-unavailable', reason: 'There is no peer'}),
}: StartTestEntryOptions) {
	const clock = {now: () => new Date(), monotonic: () => performance.now()};
	const limits = {...testConfiguration().limits, idleTimeout};
	let version = 1;
	let current: Partial<RoutingConfiguration> = {routes, ...(services !== undefined && {services})};
	const reply = (): WatchReply => ({
		run: 'one', cursor: 1, records: recordsOf(), suspectCursor: 0, suspects: [], configuration: {version, document: ''}, rollouts: [], rolloutDigest: '',
		held: 0, confirmedAgo: 0, hosts: [control], entryCount, entries: peers, zone: 'hall-a' as ZoneId, takesWorkReports: true, serverLimits,
	});
	const metrics = createGatewayMetrics();
	const {entry, port} = await startOnFreePort(port => new EntryInstance({
		self: '10.0.1.1' as InstanceId,
		zone: 'hall-a' as ZoneId,
		listen: {host: '127.0.0.1', port},
		clock,
		random,
		log,
		metrics,
		dialect: {...plainDialect, readRequest: () => testRequest({timeout: requestMilliseconds}), ...dialect},
		bounds: {canaryShare: 0.1, minimumConfidence: 50},
		leaseMilliseconds,
		freshness: {configuration: freshMilliseconds, servers: freshMilliseconds},
		sessionMilliseconds: 5000,
		heartbeatMilliseconds: 1000,
		retryShare: 1,
		retryWindowMilliseconds: 1000,
		run: 'one',
		seeds: () => [control],
		async ask(_to, message, timeout) {
			const isAnswered = await Promise.race([beforeReply(message).then(() => true), delay(timeout, false)]);
			return isAnswered ? reply() : undefined;
		},
		send: ignore,
		reportSuspects: async () => true,
		askForSends,
		reportWork: async () => work,
		openTunnel,
		wait: async milliseconds => delay(milliseconds),
		heldBytes,
		notedShare: 0,
		parse() {
			const refused = onParse();
			return refused === undefined ? Right(testConfiguration({limits, ...current, version})) : Left(refused);
		},
	}));
	t.teardown(() => {
		entry.close();
	});
	while (!entry.isReady) {
		await delay(20);
	}

	return {
		entry,
		port,
		metrics,
		/** Reports another configuration; the instance adopts it with the next reply. */
		changeRoutes(changed: RoutingConfiguration['routes']) {
			version++;
			current = {...current, routes: changed};
		},
		/** Reports a configuration with other services, and other routes if any are given. */
		changeServices(changed: Pick<RoutingConfiguration, 'services'> & Partial<Pick<RoutingConfiguration, 'routes'>>) {
			version++;
			current = {...current, ...changed};
		},
		/** Reports a configuration that differs in any fields. */
		changeConfiguration(changed: Partial<Omit<RoutingConfiguration, 'version'>>) {
			version++;
			current = {...current, ...changed};
		},
	};
}

/** Starts an instance on a free port; on another one if a connection has taken the port before the instance listens. */
async function startOnFreePort(create: (port: number) => EntryInstance): Promise<{readonly entry: EntryInstance; readonly port: number}> {
	for (;;) {
		const port = await freePort();
		const entry = create(port);
		try {
			await entry.start();
			return {entry, port};
		} catch (error) {
			entry.close();
			if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE') {
				throw error;
			}
		}
	}
}

async function freePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}
