import {type InstanceId} from '@valehitch/core';
import {rateLeaseMilliseconds} from '@valehitch/routing';
import {type WatchReply} from '../control/peer-message.js';
import {type Evacuations} from '../servers/evacuations.js';
import {type SentServerLimit} from '../servers/server-limits.js';
import {type ServerRecord} from '../servers/server-record.js';
import {listedServers} from '../servers/server-rows.js';
import {type EntryContext} from './entry-context.js';

/** Options of {@linkcode applyServerNews}. */
export type ApplyServerNewsOptions = {
	/** The control instance that replied. */
	readonly source: InstanceId;
	/** Milliseconds on the monotonic clock. */
	readonly now: number;
	/** Whether the reply is the full state of the control instance. */
	readonly isFullState: boolean;
	/** When the poll was sent, in milliseconds on the monotonic clock; undefined if leases of the reply may not be used. */
	readonly sentAt: number | undefined;
};

type NewsContext = Pick<EntryContext, 'servers' | 'log' | 'metrics'>;
type NewsSource = Pick<ApplyServerNewsOptions, 'source' | 'now'>;

/**
Applies what a control instance reports of backend servers: their records, evacuations, rate limits and leases.

@param reply The reply to a poll.
@param context The context of the instance.
@param options The control instance, and the times.
@returns The records that were added or whose state changed.
@example
```ts
const changed = applyServerNews(reply, context, {source, now, isFullState, sentAt});
```
*/
export function applyServerNews(reply: WatchReply, context: NewsContext, {source, now, isFullState, sentAt}: ApplyServerNewsOptions): readonly ServerRecord[] {
	const {servers, log} = context;
	const changed = servers.applyRecords(listedServers(reply), {source, now, isFullState});
	applyEvacuations(reply.evacuations, context, {source, now});
	if (sentAt !== undefined) {
		const validUntil = sentAt + rateLeaseMilliseconds;
		servers.limits.renewColdLeases({source, leases: reply.rateLeases ?? [], validUntil});
		servers.limits.rates.renewLeases({source, leases: reply.limitLeases ?? [], validUntil});
	}

	applyLimits(reply.serverLimits ?? [], context, {source, now});
	for (const {id, state, service, version, startedAt, sequence} of changed) {
		log(state === 'ready' ? 'server-joined' : 'server-draining', {
			server: id, service, version, state, startedAt, sequence, source,
		});
	}

	return changed;
}

function applyEvacuations(evacuations: Evacuations | undefined, {servers, log, metrics}: NewsContext, {source, now}: NewsSource): void {
	if (evacuations === undefined || !servers.applyEvacuations(evacuations, now)) {
		return;
	}

	metrics.evacuatedZones.set(servers.evacuations.zones.size);
	for (const {zone, isEvacuated, revision} of evacuations.zones) {
		log('evacuation-adopted', {
			target: zone, isEvacuated, revision, source,
		}, 'warn');
	}
}

function applyLimits(limits: readonly SentServerLimit[], {servers, log, metrics}: NewsContext, {source, now}: NewsSource): void {
	for (const {server, requestsPerSecond} of servers.limits.rates.merge(limits, now)) {
		log('server-limit-changed', {server, requestsPerSecond, source});
		metrics.limitedServers.set(servers.limits.rates.countAt(now));
	}
}
