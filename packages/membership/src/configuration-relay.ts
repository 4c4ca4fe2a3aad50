import {
	type InstanceId, type Revision, type SuspensionWatch, toRevision, type ZoneId,
} from '@valehitch/core';

/** The lowest revision that any lease of a zone may still run under. */
export type ZoneMinimum = {
	readonly zone: ZoneId;
	readonly revision: Revision;
};

/** Asks a parent for a configuration lease. */
export type LeaseQuestion = {
	readonly instance: InstanceId;
	/** Tells two starts of one instance apart. */
	readonly incarnation: number;
	/** Numbers the questions of one start; an answer to an earlier one is passed over. */
	readonly number: number;
	/** What the asker and all that it granted leases to confirm. */
	readonly confirmed: readonly ZoneMinimum[];
};

/** Tells a former parent that the leases it granted need not be counted any longer. */
export type LeaseRelease = {
	readonly instance: InstanceId;
	readonly incarnation: number;
	/** The last question that it covers; a later one to the same parent counts anew. */
	readonly number: number;
};

/** A lease that is passed down. */
export type LeaseGrant = {
	/** The revision that the asker must have in force to use the lease. */
	readonly revision: Revision;
	/** How long the granter's own lease still ran when it answered; counts from when the asker sent the question. */
	readonly remainingMilliseconds: number;
};

/** The leader's right to grant, as it stands now. */
export type LeaderView = {
	/** The newest committed revision. */
	readonly revision: Revision;
	/** Until when the leader's own lease runs, on the monotonic clock. */
	readonly validUntil: number;
};

/** What a relay needs. */
export type ConfigurationRelayOptions = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	readonly incarnation: number;
	/** The length of a lease that the leader grants. */
	readonly leaseMilliseconds: number;
	/** The monotonic clock stands still while the machine is suspended, and leases end meanwhile all the same. */
	readonly suspension: Pick<SuspensionWatch, 'lastWake'>;
};

type Outstanding = {
	readonly minima: readonly ZoneMinimum[];
	/** The last question that was answered. */
	readonly number: number;
	/** When the last lease granted to the asker has run out, on the monotonic clock. */
	readonly expiresAt: number;
};

/** The share by which a lease is shortened, for clocks that run at unlike rates. */
const driftAllowance = 0.01;

/**
The configuration leases of one instance: its own one, and those that it granted.

Soundness: a lease is used only with a revision at least that of its grant; a grant carries the granter's own revision; a
revision never goes back on an instance. So each outstanding lease under revision r is below a chain of granters each of which
counts at most r for it until it has run out (Gray and Cheriton, 1989, for leases).

A former parent is released once a new one covers all that it counted: the new lease ends no earlier than any the asker had, and
everything below the asker is at the new granter's revision at least. The granter reports a higher revision of its own only together
with what the asker confirmed, and until then the chain above it counts its lower one.

@example
```ts
const question = relay.question(now, parent);
const {grant} = await ask(parent, question);
relay.take({question, sentAt, grant});
for (const [former, release] of relay.takeReleases()) { ... }
```
*/
export class ConfigurationRelay {
	readonly #options: ConfigurationRelayOptions;
	readonly #outstanding = new Map<string, Outstanding>();
	/** The parents that may count leases for this instance. */
	readonly #asked = new Set<InstanceId>();
	readonly #releases: Array<readonly [InstanceId, LeaseRelease]> = [];
	#parent: InstanceId | undefined;
	#revision = toRevision(0);
	/** Until when the own lease runs, on the monotonic clock. */
	#leasedUntil = Number.NEGATIVE_INFINITY;
	/** When the question for it was sent, or the leader renewed it. */
	#leasedAt = Number.NEGATIVE_INFINITY;
	#lastQuestion = 0;

	constructor(options: ConfigurationRelayOptions) {
		this.#options = options;
	}

	/** The revision in force here. */
	get revision(): Revision {
		return this.#revision;
	}

	/** Until when the own lease runs, on the monotonic clock; minus infinity where the machine was suspended since it was asked for. */
	get validUntil(): number {
		return this.#leasedAt < this.#options.suspension.lastWake() ? Number.NEGATIVE_INFINITY : this.#leasedUntil;
	}

	/**
	Puts a revision in force; one that is not higher changes nothing.

	@param revision The revision.
	@returns Whether it was higher.
	*/
	adopt(revision: Revision): boolean {
		if (revision <= this.#revision) {
			return false;
		}

		this.#revision = revision;
		return true;
	}

	/**
	Tells whether the own lease is valid.

	@param now The monotonic time.
	*/
	isLeaseValid(now: number): boolean {
		return now < this.validUntil;
	}

	/**
	Makes the next question to a parent; answers to earlier ones are passed over from now on.

	@param now The monotonic time.
	@param parent The parent.
	@returns The question.
	*/
	question(now: number, parent: InstanceId): LeaseQuestion {
		const {instance, incarnation} = this.#options;
		this.#asked.add(parent);
		this.#parent = parent;
		return {
			instance, incarnation, number: ++this.#lastQuestion, confirmed: this.confirmed(now),
		};
	}

	/**
	Answers a question, with a lease where this instance can grant one.

	@param question The question.
	@param now The monotonic time.
	@returns The grant; undefined where the own lease has run out.
	*/
	answer(question: LeaseQuestion, now: number): LeaseGrant | undefined {
		const key = keyOf(question);
		const {validUntil} = this;
		const expiresAt = Math.max(validUntil, this.#outstanding.get(key)?.expiresAt ?? Number.NEGATIVE_INFINITY);
		if (now >= expiresAt) {
			this.#outstanding.delete(key);
			return undefined;
		}

		this.#outstanding.set(key, {minima: question.confirmed, number: question.number, expiresAt});
		return now < validUntil ? {revision: this.#revision, remainingMilliseconds: validUntil - now} : undefined;
	}

	/**
	Counts the leases of a former child no longer, unless it asked again since.

	@param release What the child said.
	*/
	release(release: LeaseRelease): void {
		const key = keyOf(release);
		const outstanding = this.#outstanding.get(key);
		if (outstanding !== undefined && outstanding.number <= release.number) {
			this.#outstanding.delete(key);
		}
	}

	/**
	Takes the answer to a question.

	@param answer The question, when it was sent on the monotonic clock, and the grant.
	@returns Whether the lease was taken; not for an earlier question, for one from before the machine was suspended, or where the granted revision is not in force here yet.
	*/
	take({question, sentAt, grant}: {readonly question: LeaseQuestion; readonly sentAt: number; readonly grant: LeaseGrant}): boolean {
		const isStale = question.number !== this.#lastQuestion || sentAt < this.#options.suspension.lastWake();
		if (isStale || grant.revision > this.#revision) {
			return false;
		}

		const validUntil = sentAt + (grant.remainingMilliseconds * (1 - driftAllowance));
		if (validUntil >= this.validUntil && question.confirmed.every(({revision}) => revision >= grant.revision)) {
			this.#releaseFormer();
		}

		this.#lease(validUntil, sentAt);
		return true;
	}

	/**
	Gives the former parents that the lease taken last covers, and forgets them.

	@returns Whom to send which release.
	*/
	takeReleases(): Array<readonly [InstanceId, LeaseRelease]> {
		return this.#releases.splice(0);
	}

	/**
	Renews the own lease on the leader itself.

	@param leader The leader's view.
	@param now The monotonic time.
	@returns Whether it was renewed; not where the leader's lease has run out or its revision is not in force here yet.
	*/
	renewAsLeader(leader: LeaderView, now: number): boolean {
		if (now >= leader.validUntil || leader.revision > this.#revision) {
			return false;
		}

		this.#lease(now + this.#options.leaseMilliseconds, now);
		return true;
	}

	/**
	The lowest revision by zone that the own lease or one granted here may still run under.

	@param now The monotonic time.
	@returns One entry for each zone, the own one included.
	*/
	confirmed(now: number): ZoneMinimum[] {
		const lowest = new Map<ZoneId, Revision>([[this.#options.zone, this.#revision]]);
		for (const [key, {minima, expiresAt}] of this.#outstanding) {
			if (now >= expiresAt) {
				this.#outstanding.delete(key);
				continue;
			}

			for (const {zone, revision} of minima) {
				lowest.set(zone, toRevision(Math.min(revision, lowest.get(zone) ?? revision)));
			}
		}

		return [...lowest].map(([zone, revision]) => ({zone, revision}));
	}

	#lease(until: number, askedAt: number): void {
		this.#leasedUntil = Math.max(this.validUntil, until);
		this.#leasedAt = Math.max(this.#leasedAt, askedAt);
	}

	#releaseFormer(): void {
		const {instance, incarnation} = this.#options;
		for (const former of this.#asked) {
			if (former !== this.#parent) {
				this.#asked.delete(former);
				this.#releases.push([former, {instance, incarnation, number: this.#lastQuestion}]);
			}
		}
	}
}

function keyOf({instance, incarnation}: Pick<LeaseQuestion, 'instance' | 'incarnation'>): string {
	return `${instance}/${incarnation}`;
}
