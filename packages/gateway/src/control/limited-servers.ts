import {type Clock, type InstanceId} from '@valehitch/core';
import {divideRateLimit} from '@valehitch/routing';
import {type DecisionLog} from '../logs/decision-log.js';
import {type ServerDirectory} from '../servers/server-directory.js';
import {type SentServerLimit, ServerLimits} from '../servers/server-limits.js';
import {type LeasedServer, RateLeaseGrantor} from './rate-lease-grantor.js';

/** Options of {@linkcode LimitedServers}. */
export type LimitedServersOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly log: DecisionLog;
	/** This control instance. */
	readonly self: InstanceId;
	/** When this process started, in milliseconds on the monotonic clock. */
	readonly startedAt: number;
	readonly directory: Pick<ServerDirectory, 'recordOf'>;
	/** The number of control instances, this one included. */
	readonly grantors: () => number;
	/** Called when a limit begins, changes or ends. */
	readonly onChange: () => void;
};

/** The interval at which entry instances get all limits again although none changed, in milliseconds; well below the time after which they drop one that nobody names. */
const refreshMilliseconds = 30_000;

/**
The servers that have named a rate limit, as entry instances report them to a control instance, and the leases on their limits.

@example
```ts
const limitedServers = new LimitedServers(options);
limitedServers.receive(limits, entry);
limitedServers.leases.grantsFor({entry, entries, now});
```
*/
export class LimitedServers {
	readonly leases: RateLeaseGrantor;
	readonly #options: LimitedServersOptions;
	readonly #limits = new ServerLimits();
	#cursor = 0;
	#refreshedAt = 0;

	constructor(options: LimitedServersOptions) {
		this.#options = options;
		this.leases = new RateLeaseGrantor({self: options.self, startedAt: options.startedAt, servers: now => this.#leasedServers(now)});
	}

	/** The number of the last change. */
	get cursor(): number {
		return this.#cursor;
	}

	/**
	Applies the limits that an entry instance has heard.

	@param limits The limits.
	@param source The entry instance.
	*/
	receive(limits: readonly SentServerLimit[], source: InstanceId): void {
		const {clock, log, onChange} = this.#options;
		const now = clock.monotonic();
		const changed = this.#limits.merge(limits, now);
		if (changed.length > 0 || (limits.length > 0 && now - this.#refreshedAt >= refreshMilliseconds)) {
			this.#cursor++;
			this.#refreshedAt = now;
		}

		if (changed.length === 0) {
			return;
		}

		for (const {server, requestsPerSecond} of changed) {
			log('server-limit-changed', {server, requestsPerSecond, source});
		}

		onChange();
	}

	/**
	Lists the limits for an entry instance.

	@param cursor The last change that the entry instance has received; undefined if it has received none from this process.
	@param now Milliseconds on the monotonic clock.
	@returns The limits in force, and those that ended recently; empty if it has them.
	*/
	changedSince(cursor: number | undefined, now: number): readonly SentServerLimit[] {
		return cursor === this.#cursor ? [] : this.#limits.toSend(now);
	}

	#leasedServers(now: number): readonly LeasedServer[] {
		const {directory, grantors} = this.#options;
		const servers: LeasedServer[] = [];
		for (const {server} of this.#limits.inForce(now)) {
			const record = directory.recordOf(server);
			const limit = record?.state === 'ready' ? this.#limits.of(record, now) : undefined;
			if (record !== undefined && limit?.requestsPerSecond !== undefined) {
				servers.push({record, ...divideRateLimit(limit.requestsPerSecond, {grantors: grantors()})});
			}
		}

		return servers;
	}
}
