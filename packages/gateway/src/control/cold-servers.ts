import {type Clock, type ServiceId, type ZoneId} from '@valehitch/core';
import {rateLimitShare, rateWindowMilliseconds} from '@valehitch/routing';
import {type ServerDirectory} from '../servers/server-directory.js';
import {type ColdLimit, ColdLimits, type ColdLimitsOptions} from './cold-limits.js';
import {type ConfigurationDocument} from './gateway-state.js';
import {type LeasedServer, RateLeaseGrantor} from './rate-lease-grantor.js';

/** Options of {@linkcode ColdServers}. */
export type ColdServersOptions = ColdLimitsOptions & {
	readonly clock: Pick<Clock, 'monotonic'>;
	/** When this process started, in milliseconds on the monotonic clock. */
	readonly startedAt: number;
	/** The interval between announcements of a server, in milliseconds. */
	readonly heartbeatMilliseconds: number;
	readonly directory: ServerDirectory;
	readonly configuration: () => ConfigurationDocument | undefined;
	/** The number of control instances, this one included. */
	readonly grantors: () => number;
};

/**
The cold servers of a control instance: their rate limits, and the leases on them.

@example
```ts
const coldServers = new ColdServers(options);
coldServers.leases.grantsFor({entry, entries, now});
```
*/
export class ColdServers {
	readonly leases: RateLeaseGrantor;
	readonly #options: ColdServersOptions;
	readonly #limits: ColdLimits;

	constructor(options: ColdServersOptions) {
		this.#options = options;
		this.#limits = new ColdLimits(options);
		this.leases = new RateLeaseGrantor({startedAt: options.startedAt, servers: now => this.#leasedServers(now)});
	}

	/**
	Treats the servers of a zone as cold until they announce otherwise: they may have become cold before its evacuation ended, and after their last announcement.

	@param zone The zone.
	*/
	requireReports(zone: ZoneId): void {
		const {clock, heartbeatMilliseconds, directory} = this.#options;
		const now = clock.monotonic();
		directory.requireCold(zone, ({service}) => ({
			until: now + (this.#limitOf(service)?.duration ?? 0), confirmedFrom: now + heartbeatMilliseconds,
		}));
	}

	#leasedServers(now: number): readonly LeasedServer[] {
		const {directory, grantors} = this.#options;
		const servers: LeasedServer[] = [];
		for (const record of directory.coldServers(now)) {
			const limit = this.#limitOf(record.service);
			if (limit !== undefined) {
				const share = rateLimitShare(limit.requestsPerSecond, {grantors: grantors()});
				servers.push({record, share, window: rateWindowMilliseconds});
			}
		}

		return servers;
	}

	#limitOf(service: ServiceId): ColdLimit | undefined {
		return this.#limits.of(service, this.#options.configuration());
	}
}
