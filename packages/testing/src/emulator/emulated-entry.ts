import {
	type Clock, type InstanceId, type RandomSource, type ServerId, toId, type ZoneId,
} from '@valehitch/core';
import {
	EntryServers, LatencyEstimator, RepeatTracker, type ServerRecord,
} from '@valehitch/gateway';

/** The routing state of an emulated entry instance. */
export type EmulatedEntry = {
	readonly zone: ZoneId;
	readonly servers: EntryServers;
	readonly latencies: LatencyEstimator;
	readonly repeats: RepeatTracker;
};

/** Options of `createEmulatedEntry`. */
export type EmulatedEntryOptions = {
	readonly zone: ZoneId;
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly random: RandomSource;
	/** The engines; each can run `slots` requests at once. */
	readonly engines: ReadonlyArray<{readonly id: ServerId; readonly zone: ZoneId}>;
	readonly slots: number;
	/** Returns the load of a server that other instances reported to this one. */
	readonly peerLoadAt: (server: ServerId, servers: EntryServers) => number;
	/** Returns the age of these loads, in milliseconds. */
	readonly ageAt: (servers: EntryServers) => number;
};

/** The only service of an emulation. */
export const emulatedService = toId<ServerRecord['service']>('models');

const source = toId<InstanceId>('control');

/**
Creates an entry instance whose server list contains all engines.

@param options The instance's zone, engines and sources of time and randomness.
@returns The instance.
*/
export function createEmulatedEntry({zone, clock, random, engines, slots, peerLoadAt, ageAt}: EmulatedEntryOptions): EmulatedEntry {
	const servers: EntryServers = new EntryServers({
		zone,
		random,
		loads: {
			peerLoadAt: server => peerLoadAt(server, servers),
			get othersAge() {
				return ageAt(servers);
			},
			recordChange() {
				// `SharedLoads` publishes all loads at once.
			},
			discardServer() {
				// Emulated engines never restart under the same id.
			},
		},
		onReplaced() {
			// Emulated engines have no connections to close.
		},
	});
	const records = engines.map((engine): ServerRecord => ({
		id: engine.id, service: emulatedService, host: '127.0.0.1', port: 1, zone: engine.zone, version: toId('v1'), slots, state: 'ready', sequence: 1, isSilent: false,
	}));
	servers.applyRecords(records, {source, now: 0});
	return {
		zone, servers, latencies: new LatencyEstimator(clock), repeats: new RepeatTracker(),
	};
}
