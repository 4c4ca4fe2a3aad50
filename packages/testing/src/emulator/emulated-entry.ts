import {
	type Clock, type InstanceId, type RandomSource, type ServerId, toId, type ZoneId,
} from '@valehitch/core';
import {
	EntryServers, LatencyBook, RepeatBook, type ServerRecord,
} from '@valehitch/gateway';

/** What an entry instance knows. */
export type EmulatedEntry = {
	readonly zone: ZoneId;
	readonly servers: EntryServers;
	readonly latencies: LatencyBook;
	readonly repeats: RepeatBook;
};

/** What an entry instance is made of. */
export type EmulatedEntryOptions = {
	readonly zone: ZoneId;
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly random: RandomSource;
	/** The engines, and the requests that each works on at once. */
	readonly engines: ReadonlyArray<{readonly id: ServerId; readonly zone: ZoneId}>;
	readonly slots: number;
	/** The work of the other instances at a server. */
	readonly othersOn: (server: ServerId, servers: EntryServers) => number;
};

/** The one service of an emulation. */
export const emulatedService = toId<ServerRecord['service']>('models');

const source = toId<InstanceId>('control');

/**
Makes an entry instance that knows all engines.

@param options What it is made of.
@returns The instance.
*/
export function makeEntry({zone, clock, random, engines, slots, othersOn}: EmulatedEntryOptions): EmulatedEntry {
	const servers: EntryServers = new EntryServers({
		zone,
		random,
		share: {
			othersOn: server => othersOn(server, servers),
			noteChange() {
				// All loads are told together.
			},
			forget() {
				// Emulated engines do not start again under their ids.
			},
		},
		onReplaced() {
			// Emulated engines have no connections.
		},
	});
	const records = engines.map((engine): ServerRecord => ({
		id: engine.id, service: emulatedService, host: '127.0.0.1', port: 1, zone: engine.zone, version: toId('v1'), slots, state: 'ready', sequence: 1, isSilent: false,
	}));
	servers.take(records, {source, now: 0});
	return {
		zone, servers, latencies: new LatencyBook(clock), repeats: new RepeatBook(),
	};
}
