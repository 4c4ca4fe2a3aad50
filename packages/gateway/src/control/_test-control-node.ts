import {type InstanceId, type ZoneId} from '@valehitch/core';
import {createGatewayMetrics} from '../logs/gateway-metrics.js';
import {noEvacuations} from '../servers/evacuations.js';
import {type EntryUpdate, EntryWatches} from './entry-watches.js';
import {LimitedServers} from './limited-servers.js';
import {MessageReaders} from './message-readers.js';
import {ServerDirectorySync, type ServerDirectorySyncOptions} from './server-directory-sync.js';

const heartbeatMilliseconds = 1200;

/** The services of a control instance that handle backend servers. */
export type TestControlServices = {
	readonly run: string;
	readonly news: ServerDirectorySync;
	readonly watches: EntryWatches;
};

type StartTestControlOptions = Pick<ServerDirectorySyncOptions, 'clock' | 'others' | 'ask' | 'saved'> & {
	/** Identifies the run of the process. */
	readonly run: string;
	/** The replicated state that entry instances are told; by default none. */
	readonly update?: Partial<EntryUpdate>;
};

/** Starts the services of a control instance without their timers; the test triggers each round. */
export function startTestControlServices({run, update, ...options}: StartTestControlOptions): TestControlServices {
	const news = new ServerDirectorySync({
		...options, log: doNothing, metrics: createGatewayMetrics(), heartbeatMilliseconds, summaryReaders: new MessageReaders(), onChange: doNothing,
	});
	const watches = new EntryWatches({
		clock: options.clock,
		run,
		zone: 'hall-a' as ZoneId,
		directory: news.directory,
		suspects: {cursor: 0, changedSince: () => []},
		currentUpdate: () => ({
			configuration: undefined, rollouts: [], evacuations: noEvacuations, confirmedAt: undefined, hosts: options.others(), ...update,
		}),
		leases: {grantsFor: () => []},
		limitedServers: new LimitedServers({
			clock: options.clock, log: doNothing, self: 'control-1' as InstanceId, startedAt: 0, directory: news.directory, grantors: () => options.others().length + 1, onChange: doNothing,
		}),
	});
	void news.start();
	news.stop();
	return {run, news, watches};
}

function doNothing(): void {
	// Notifications are not needed.
}
