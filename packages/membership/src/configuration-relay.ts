import {
	type InstanceId, type Revision, type SuspensionDetector, toRevision, type ZoneId,
} from '@valehitch/core';

/** The lowest revision under which any valid lease of a zone may still run. */
export type ZoneRevision = {
	readonly zone: ZoneId;
	readonly revision: Revision;
};

/** A request to a parent for a configuration lease. */
export type LeaseRequest = {
	readonly instance: InstanceId;
	/** Distinguishes different starts of an instance. */
	readonly incarnation: number;
	/** The request number within one start. Responses to earlier requests are ignored. */
	readonly number: number;
	/** The lowest revision by zone, over the requester and all instances to which it granted leases. */
	readonly confirmed: readonly ZoneRevision[];
};

/** Informs a former parent that it need no longer track the leases it granted. */
export type LeaseRelease = {
	readonly instance: InstanceId;
	readonly incarnation: number;
	/** The last request covered. A later request to the same parent is tracked again. */
	readonly number: number;
};

/** A lease granted by a parent to a child. */
export type LeaseGrant = {
	/** The revision that the requester must have in force to use the lease. */
	readonly revision: Revision;
	/** The remaining time of the granter's own lease when it responded. Counted from when the request was sent. */
	readonly remainingMilliseconds: number;
};

/** A lease request and the grant that a parent returned. */
export type LeaseResponse = {
	readonly request: LeaseRequest;
	/** When the request was sent, on the monotonic clock. */
	readonly sentAt: number;
	readonly grant: LeaseGrant;
};

/** The current lease of the leader, which allows it to grant leases. */
export type LeaderLease = {
	/** The newest committed revision. */
	readonly revision: Revision;
	/** When the leader's own lease expires, on the monotonic clock. */
	readonly validUntil: number;
};

/** Options of `ConfigurationRelay`. */
export type ConfigurationRelayOptions = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	readonly incarnation: number;
	/** The duration of a lease that the leader grants. */
	readonly leaseMilliseconds: number;
	/** Detects suspensions of the machine, during which the monotonic clock stops but leases expire. */
	readonly suspension: Pick<SuspensionDetector, 'lastWake'>;
};

type OutstandingLease = {
	readonly revisions: readonly ZoneRevision[];
	/** The number of the last answered request. */
	readonly number: number;
	/** When the last lease granted to the child expires, on the monotonic clock. */
	readonly expiresAt: number;
};

/** The fraction by which a received lease is shortened to allow for different clock rates. */
const clockDriftAllowance = 0.01;

/**
The configuration leases of one instance: its own lease and the leases that it granted.

Safety: a lease is used only with a revision at least as high as that of its grant, a grant carries the granter's own revision, and the
revision of an instance never decreases. For every outstanding lease under revision r there is therefore a chain of granters, each of
which reports at most r for the lease until it expires (leases: Gray and Cheriton, 1989).

A former parent is released once a new parent covers everything that it tracked: the new lease expires no earlier than any previous
lease of the child, and all descendants of the child have at least the new granter's revision. The granter reports a higher revision
of its own only together with the revisions confirmed by the child. Until then, the chain above it reports its lower one.

@example
```ts
const request = relay.createRequest(now, parent);
const {grant} = await requestLease(parent, request);
relay.acceptGrant({request, sentAt, grant});
for (const [formerParent, release] of relay.drainReleases()) { ... }
```
*/
export class ConfigurationRelay {
	readonly #options: ConfigurationRelayOptions;
	readonly #outstanding = new Map<string, OutstandingLease>();
	/** The parents that may be tracking leases of this instance. */
	readonly #askedParents = new Set<InstanceId>();
	readonly #releases: Array<readonly [InstanceId, LeaseRelease]> = [];
	#parent: InstanceId | undefined;
	#revision = toRevision(0);
	/** When the instance's own lease expires, on the monotonic clock. */
	#leaseExpiresAt = Number.NEGATIVE_INFINITY;
	/** When the lease was requested, or renewed by the leader, on the monotonic clock. */
	#leaseRequestedAt = Number.NEGATIVE_INFINITY;
	#lastRequestNumber = 0;

	constructor(options: ConfigurationRelayOptions) {
		this.#options = options;
	}

	/** The revision in force on this instance. */
	get revision(): Revision {
		return this.#revision;
	}

	/** When the instance's own lease expires, on the monotonic clock. -Infinity if the machine was suspended since the lease was requested. */
	get validUntil(): number {
		return this.#leaseRequestedAt < this.#options.suspension.lastWake() ? Number.NEGATIVE_INFINITY : this.#leaseExpiresAt;
	}

	/**
	Puts a revision in force, unless it is not higher than the current one.

	@param revision The revision.
	@returns Whether the revision was higher.
	*/
	adopt(revision: Revision): boolean {
		if (revision <= this.#revision) {
			return false;
		}

		this.#revision = revision;
		return true;
	}

	/**
	Checks whether the instance's own lease is valid.

	@param now The monotonic time.
	*/
	isLeaseValid(now: number): boolean {
		return now < this.validUntil;
	}

	/**
	Creates the next request to a parent. Responses to earlier requests are ignored from now on.

	@param now The monotonic time.
	@param parent The parent.
	@returns The request.
	*/
	createRequest(now: number, parent: InstanceId): LeaseRequest {
		const {instance, incarnation} = this.#options;
		this.#askedParents.add(parent);
		this.#parent = parent;
		return {
			instance, incarnation, number: ++this.#lastRequestNumber, confirmed: this.minimumRevisions(now),
		};
	}

	/**
	Handles a lease request from a child. Grants a lease if this instance's own lease is valid.

	@param request The request.
	@param now The monotonic time.
	@returns The grant, or undefined if the instance's own lease has expired.
	*/
	grantLease(request: LeaseRequest, now: number): LeaseGrant | undefined {
		const key = leaseKey(request);
		const {validUntil} = this;
		const expiresAt = Math.max(validUntil, this.#outstanding.get(key)?.expiresAt ?? Number.NEGATIVE_INFINITY);
		if (now >= expiresAt) {
			this.#outstanding.delete(key);
			return undefined;
		}

		this.#outstanding.set(key, {revisions: request.confirmed, number: request.number, expiresAt});
		return now < validUntil ? {revision: this.#revision, remainingMilliseconds: validUntil - now} : undefined;
	}

	/**
	Stops tracking the leases of a former child, unless it has sent a later request.

	@param release The child's release.
	*/
	releaseChild(release: LeaseRelease): void {
		const key = leaseKey(release);
		const outstanding = this.#outstanding.get(key);
		if (outstanding !== undefined && outstanding.number <= release.number) {
			this.#outstanding.delete(key);
		}
	}

	/**
	Handles the response to a lease request.

	@param response The request, when it was sent on the monotonic clock, and the grant.
	@returns Whether the lease was accepted. It is rejected if the request is not the latest one, if it was sent before the machine was last suspended, or if the granted revision is not in force on this instance yet.
	*/
	acceptGrant({request, sentAt, grant}: LeaseResponse): boolean {
		const isStale = request.number !== this.#lastRequestNumber || sentAt < this.#options.suspension.lastWake();
		if (isStale || grant.revision > this.#revision) {
			return false;
		}

		const validUntil = sentAt + (grant.remainingMilliseconds * (1 - clockDriftAllowance));
		if (validUntil >= this.validUntil && request.confirmed.every(({revision}) => revision >= grant.revision)) {
			this.#releaseFormerParents();
		}

		this.#extendLease(validUntil, sentAt);
		return true;
	}

	/**
	Returns the releases for former parents that the last accepted lease covers, and clears them.

	@returns Pairs of a former parent and the release to send to it.
	*/
	drainReleases(): Array<readonly [InstanceId, LeaseRelease]> {
		return this.#releases.splice(0);
	}

	/**
	Renews the instance's own lease if it is the leader.

	@param leader The leader's lease.
	@param now The monotonic time.
	@returns Whether the lease was renewed. It is not renewed if the leader's lease has expired or its revision is not in force on this instance yet.
	*/
	renewAsLeader(leader: LeaderLease, now: number): boolean {
		if (now >= leader.validUntil || leader.revision > this.#revision) {
			return false;
		}

		this.#extendLease(now + this.#options.leaseMilliseconds, now);
		return true;
	}

	/**
	Returns the lowest revision by zone under which the instance's own lease or a lease it granted may still run.

	@param now The monotonic time.
	@returns One entry for each zone, including the instance's own.
	*/
	minimumRevisions(now: number): ZoneRevision[] {
		const lowest = new Map<ZoneId, Revision>([[this.#options.zone, this.#revision]]);
		for (const [key, {revisions, expiresAt}] of this.#outstanding) {
			if (now >= expiresAt) {
				this.#outstanding.delete(key);
				continue;
			}

			for (const {zone, revision} of revisions) {
				lowest.set(zone, toRevision(Math.min(revision, lowest.get(zone) ?? revision)));
			}
		}

		return [...lowest].map(([zone, revision]) => ({zone, revision}));
	}

	#extendLease(expiresAt: number, requestedAt: number): void {
		this.#leaseExpiresAt = Math.max(this.validUntil, expiresAt);
		this.#leaseRequestedAt = Math.max(this.#leaseRequestedAt, requestedAt);
	}

	#releaseFormerParents(): void {
		const {instance, incarnation} = this.#options;
		for (const formerParent of this.#askedParents) {
			if (formerParent !== this.#parent) {
				this.#askedParents.delete(formerParent);
				this.#releases.push([formerParent, {instance, incarnation, number: this.#lastRequestNumber}]);
			}
		}
	}
}

function leaseKey({instance, incarnation}: Pick<LeaseRequest, 'instance' | 'incarnation'>): string {
	return `${instance}/${incarnation}`;
}
