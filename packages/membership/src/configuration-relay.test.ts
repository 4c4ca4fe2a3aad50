import test from 'ava';
import fc from 'fast-check';
import {
	type InstanceId, toId, toRevision, type ZoneId,
} from '@valehitch/core';
import {ConfigurationRelay, type LeaseResponse} from './configuration-relay.js';
import {InForceTracker} from './in-force-tracker.js';

const seed = 43;
const neverSuspended = {lastWake: () => Number.NEGATIVE_INFINITY};
const nodes = 6;
const leaseMilliseconds = 100;
const leaderLeaseMilliseconds = 40;
const zones = ['zone-a', 'zone-b', 'zone-c'].map(name => toId<ZoneId>(name));

const steps = createSteps({
	maximumNode: nodes - 1, maximumRequestDelay: 30, maximumResponseDelay: 60, maximumWait: 40, adopts: fc.boolean(), lost: fc.boolean(),
});
/** Few nodes, short delays and little message loss, so that children change parents frequently and former parents are released. */
const frequentMoveSteps = createSteps({
	maximumNode: 3, maximumRequestDelay: 6, maximumResponseDelay: 6, maximumWait: 12, adopts: mostly(true), lost: mostly(false), size: 'max',
});

const suspendedSteps = createSteps({
	maximumNode: 3, maximumRequestDelay: 6, maximumResponseDelay: 6, maximumWait: 12, adopts: mostly(true), lost: mostly(false), size: 'max', suspends: true,
});

type StepsOptions = {
	readonly maximumNode: number;
	readonly maximumRequestDelay: number;
	readonly maximumResponseDelay: number;
	readonly maximumWait: number;
	readonly adopts: fc.Arbitrary<boolean>;
	readonly lost: fc.Arbitrary<boolean>;
	readonly size?: 'max';
	readonly suspends?: boolean;
};

function mostly(value: boolean): fc.Arbitrary<boolean> {
	return fc.nat(9).map(drawn => (drawn > 0) === value);
}

function createSteps({
	maximumNode, maximumRequestDelay, maximumResponseDelay, maximumWait, adopts, lost, size, suspends,
}: StepsOptions) {
	const nodeIndex = fc.nat(maximumNode);
	return fc.array(fc.oneof(
		{
			weight: 8, arbitrary: fc.record({
				type: fc.constant('exchange' as const), child: nodeIndex, parent: nodeIndex, requestDelay: fc.nat(maximumRequestDelay), responseDelay: fc.nat(maximumResponseDelay), lost, adopts,
			}),
		},
		{weight: 4, arbitrary: fc.record({type: fc.constant('wait' as const), milliseconds: fc.nat(maximumWait)})},
		{weight: 2, arbitrary: fc.record({type: fc.constant('commit' as const)})},
		{weight: 3, arbitrary: fc.record({type: fc.constant('renew-leader' as const)})},
		{weight: 1, arbitrary: fc.record({type: fc.constant('elect' as const), node: nodeIndex})},
		{weight: 1, arbitrary: fc.record({type: fc.constant('restart' as const), node: nodeIndex})},
		...(suspends === true ? [{weight: 1, arbitrary: fc.record({type: fc.constant('suspend' as const), node: nodeIndex, milliseconds: fc.integer({min: 1, max: 2 * leaseMilliseconds})})}] : []),
	), {minLength: 60, maxLength: 250, ...(size !== undefined && {size})});
}

type Step = ReturnType<typeof createSteps> extends fc.Arbitrary<Array<infer One>> ? One : never;

/** Runs relays against one reference timeline. Each node's clock has its own origin and rate. */
class Simulation {
	now = 0;
	/** How often a revision was found to be in force everywhere. */
	confirmedCount = 0;
	/** How often a release changed the minimum revisions of a former parent. */
	releasedCount = 0;
	readonly #relays: ConfigurationRelay[] = [];
	/** The total time that each machine was suspended. */
	readonly #suspendedMilliseconds: number[] = [];
	/** When each machine last woke up, on its own clock. */
	readonly #lastWakeTimes: number[] = [];
	readonly #messages: Array<{readonly at: number; readonly deliver: () => void}> = [];
	readonly #leaderViews = new Map<number, {readonly revision: number; readonly until: number}>();
	#hasRevisionDecreased = false;
	#incarnation = 0;
	#committed = 1;
	#leader = 0;
	#leaderUntil = leaderLeaseMilliseconds;
	#tracker: InForceTracker;

	constructor() {
		for (let index = 0; index < nodes; index++) {
			this.#relays.push(this.#createRelay(index));
		}

		this.#tracker = this.#startLeadership();
	}

	run(step: Step): void {
		switch (step.type) {
			case 'exchange': {
				if (step.child !== step.parent) {
					this.#exchange(step);
				}

				break;
			}

			case 'wait': {
				this.#advance(step.milliseconds);
				break;
			}

			case 'commit': {
				if (this.now < this.#leaderUntil) {
					this.#committed++;
				}

				break;
			}

			case 'renew-leader': {
				if (this.now < this.#leaderUntil) {
					this.#leaderUntil = this.now + leaderLeaseMilliseconds;
				}

				break;
			}

			case 'elect': {
				if (this.now >= this.#leaderUntil) {
					this.#leader = step.node;
					this.#leaderUntil = this.now + leaderLeaseMilliseconds;
					this.#tracker = this.#startLeadership();
				}

				break;
			}

			case 'suspend': {
				// No messages are delivered during the suspension.
				this.#suspendedMilliseconds[step.node] = (this.#suspendedMilliseconds[step.node] ?? 0) + step.milliseconds;
				this.now += step.milliseconds;
				this.#lastWakeTimes[step.node] = this.#clock(step.node);
				break;
			}

			case 'restart': {
				if (step.node !== this.#leader) {
					this.#relays[step.node] = this.#createRelay(step.node);
					this.#leaderViews.delete(step.node);
				}

				break;
			}
		}
	}

	/** Checks the invariant: a revision that the leader reports as in force is in force on every node with a valid lease. */
	violation(): string | undefined {
		if (this.#hasRevisionDecreased) {
			return 'the revision of a node decreased';
		}

		this.#renewLeaders();
		if (this.now < this.#leaderUntil) {
			const answer = this.#tracker.check({revision: toRevision(this.#committed), now: this.#clock(this.#leader), zones});
			this.confirmedCount += answer.complete ? 1 : 0;
		}

		const staleNode = this.#relays.findIndex((relay, index) => relay.isLeaseValid(this.#clock(index)) && relay.revision < this.#tracker.inForce);
		return staleNode === -1 ? undefined : `node ${staleNode} may serve under revision ${this.#relays[staleNode]?.revision} while revision ${this.#tracker.inForce} is in force at ${this.now}`;
	}

	#relay(index: number): ConfigurationRelay {
		return this.#relays[index]!;
	}

	#createRelay(index: number): ConfigurationRelay {
		return new ConfigurationRelay({
			instance: toId<InstanceId>(`node-${index}`), zone: zones[index % zones.length]!, incarnation: ++this.#incarnation, leaseMilliseconds,
			suspension: {lastWake: () => this.#lastWakeTimes[index] ?? Number.NEGATIVE_INFINITY},
		});
	}

	/** Returns the monotonic clock of a node. It has its own origin, runs up to 0.4 % slower or faster, and stops while the machine is suspended. */
	#clock(index: number, at: number = this.now): number {
		return (1000 * index) + ((at - (this.#suspendedMilliseconds[index] ?? 0)) * (1 + ((index - 2.5) * 0.0016)));
	}

	#startLeadership(): InForceTracker {
		const relay = this.#relay(this.#leader);
		relay.adopt(toRevision(this.#committed));
		return new InForceTracker({relay, leaseMilliseconds, leaderSince: this.#clock(this.#leader)});
	}

	/** Renews the lease of the leader, and lets every former leader try to renew with the last state it knew. */
	#renewLeaders(): void {
		if (this.now < this.#leaderUntil) {
			this.#relay(this.#leader).adopt(toRevision(this.#committed));
			this.#leaderViews.set(this.#leader, {revision: this.#committed, until: this.#leaderUntil});
		}

		for (const [index, {revision, until}] of this.#leaderViews) {
			this.#relay(index).renewAsLeader({revision: toRevision(revision), validUntil: this.#clock(index, until)}, this.#clock(index));
		}
	}

	#exchange({child: childIndex, parent, requestDelay, responseDelay, lost, adopts}: Step & {type: 'exchange'}): void {
		const childRelay = this.#relay(childIndex);
		const sentAt = this.#clock(childIndex);
		const request = childRelay.createRequest(sentAt, toId<InstanceId>(`node-${parent}`));
		this.#send(requestDelay, () => {
			this.#renewLeaders();
			const grant = this.#relay(parent).grantLease(request, this.#clock(parent));
			const parentRevision = this.#relay(parent).revision;
			if (!lost && grant !== undefined) {
				this.#send(responseDelay, () => {
					this.#receive(childIndex, {
						childRelay, request, sentAt, grant, parentRevision: adopts ? parentRevision : toRevision(0), releaseDelay: requestDelay,
					});
				});
			}
		});
	}

	#receive(child: number, response: LeaseResponse & {childRelay: ConfigurationRelay; parentRevision: number; releaseDelay: number}): void {
		const {childRelay, parentRevision, releaseDelay} = response;
		if (this.#relay(child) === childRelay) {
			const previousRevision = childRelay.revision;
			childRelay.adopt(toRevision(parentRevision));
			childRelay.acceptGrant(response);
			for (const [former, release] of childRelay.drainReleases()) {
				this.#send(releaseDelay, () => {
					const relay = this.#relay(indexOf(former));
					const confirmedBefore = JSON.stringify(relay.minimumRevisions(this.#clock(indexOf(former))));
					relay.releaseChild(release);
					this.releasedCount += JSON.stringify(relay.minimumRevisions(this.#clock(indexOf(former)))) === confirmedBefore ? 0 : 1;
				});
			}

			this.#hasRevisionDecreased ||= childRelay.revision < previousRevision;
		}
	}

	#send(delay: number, deliver: () => void): void {
		this.#messages.push({at: this.now + delay, deliver});
	}

	#advance(milliseconds: number): void {
		const until = this.now + milliseconds;
		for (;;) {
			const next = this.#messages.toSorted((left, right) => left.at - right.at)[0];
			if (next === undefined || next.at > until) {
				break;
			}

			this.#messages.splice(this.#messages.indexOf(next), 1);
			this.now = Math.max(this.now, next.at);
			next.deliver();
		}

		this.now = until;
	}
}

function indexOf(instance: InstanceId): number {
	return Number(instance.slice('node-'.length));
}

function check(arbitrary: typeof steps, runs: number): {readonly confirmedCount: number; readonly releasedCount: number} {
	const counts = {confirmedCount: 0, releasedCount: 0};
	fc.assert(fc.property(arbitrary, generatedSteps => {
		const simulation = new Simulation();
		for (const step of generatedSteps) {
			simulation.run(step);
			const violation = simulation.violation();
			if (violation !== undefined) {
				throw new Error(violation);
			}
		}

		counts.confirmedCount += simulation.confirmedCount;
		counts.releasedCount += simulation.releasedCount;
	}), {seed, numRuns: runs});
	return counts;
}

test('a revision that the leader reports as in force is in force on every instance with a valid lease', t => {
	const {confirmedCount} = check(steps, 3000);
	t.log(`${confirmedCount} times in force`);
	t.true(confirmedCount > 1000);
});

test('the invariant holds while children change parents and release the former ones', t => {
	const {confirmedCount, releasedCount} = check(frequentMoveSteps, 5000);
	t.log(`${confirmedCount} times in force, ${releasedCount} releases that changed what was confirmed`);
	t.true(confirmedCount > 1000);
	t.true(releasedCount > 1000);
});

test('the invariant holds while machines are suspended', t => {
	const {confirmedCount} = check(suspendedSteps, 5000);
	t.log(`${confirmedCount} times in force`);
	t.true(confirmedCount > 100);
});

test('a lease is counted from when its request was sent, and a response to an earlier request is ignored', t => {
	const createRelay = (name: string): ConfigurationRelay => new ConfigurationRelay({
		instance: toId<InstanceId>(name), zone: zones[0]!, incarnation: 1, leaseMilliseconds, suspension: neverSuspended,
	});
	const leader = createRelay('leader');
	leader.adopt(toRevision(1));
	leader.renewAsLeader({revision: toRevision(1), validUntil: 1}, 0);
	const child = createRelay('child');
	child.adopt(toRevision(1));
	const request = child.createRequest(5000, toId<InstanceId>('leader'));
	const grant = leader.grantLease(request, 20)!;
	t.is(grant.remainingMilliseconds, 80);
	t.true(child.acceptGrant({request, sentAt: 5000, grant}));
	t.true(child.isLeaseValid(5079));
	t.false(child.isLeaseValid(5080));
	child.createRequest(5010, toId<InstanceId>('leader'));
	t.false(child.acceptGrant({request, sentAt: 5000, grant}));
});

const createRelayAt = (name: string, revision: number): ConfigurationRelay => {
	const relay = new ConfigurationRelay({
		instance: toId<InstanceId>(name), zone: zones[0]!, incarnation: 1, leaseMilliseconds, suspension: neverSuspended,
	});
	relay.adopt(toRevision(revision));
	return relay;
};

type LeaseRequestOptions = {readonly parent: ConfigurationRelay; readonly name: string; readonly at: number};

/** Requests a lease from a parent, puts its revision in force and accepts the grant. Returns the resulting releases. */
function requestLease(child: ConfigurationRelay, {parent, name, at}: LeaseRequestOptions): ReturnType<ConfigurationRelay['drainReleases']> {
	const request = child.createRequest(at, toId<InstanceId>(name));
	const grant = parent.grantLease(request, at);
	if (grant !== undefined) {
		child.adopt(grant.revision);
		child.acceptGrant({request, sentAt: at, grant});
	}

	return child.drainReleases();
}

function lowestRevision(relay: ConfigurationRelay, now: number): number {
	return Math.min(...relay.minimumRevisions(now).map(({revision}) => revision));
}

test('a former parent stops tracking a moved child once the new parent covers it, but tracks one that sent a later request', t => {
	const [leader, former, child] = [createRelayAt('leader', 1), createRelayAt('former', 1), createRelayAt('child', 1)];
	leader.renewAsLeader({revision: toRevision(1), validUntil: 1}, 0);
	requestLease(former, {parent: leader, name: 'leader', at: 0});
	t.deepEqual(requestLease(child, {parent: former, name: 'former', at: 1}), []);
	const [release] = requestLease(child, {parent: leader, name: 'leader', at: 2});
	t.is(release?.[0], toId<InstanceId>('former'));
	former.adopt(toRevision(2));
	t.is(lowestRevision(former, 3), 1);
	former.releaseChild(release![1]);
	t.is(lowestRevision(former, 3), 2);
	requestLease(child, {parent: former, name: 'former', at: 4});
	former.releaseChild(release![1]);
	t.is(lowestRevision(former, 5), 1);
});

test('a former parent is not released while a descendant is behind the new parent, which may have confirmed its revision already', t => {
	const [leader, granter, child, below] = [createRelayAt('leader', 1), createRelayAt('granter', 1), createRelayAt('child', 1), createRelayAt('below', 1)];
	leader.renewAsLeader({revision: toRevision(1), validUntil: 1}, 0);
	requestLease(child, {parent: leader, name: 'leader', at: 0});
	requestLease(below, {parent: child, name: 'child', at: 1});
	leader.adopt(toRevision(2));
	leader.renewAsLeader({revision: toRevision(2), validUntil: 3}, 2);
	requestLease(granter, {parent: leader, name: 'leader', at: 3});
	requestLease(granter, {parent: leader, name: 'leader', at: 4});
	t.deepEqual(requestLease(child, {parent: granter, name: 'granter', at: 5}), []);
	t.is(lowestRevision(leader, 6), 1);
	t.true(below.isLeaseValid(6));
	requestLease(below, {parent: child, name: 'child', at: 7});
	requestLease(below, {parent: child, name: 'child', at: 8});
	t.deepEqual(requestLease(child, {parent: granter, name: 'granter', at: 9}).map(([name]) => name), [toId<InstanceId>('leader')]);
});

test('a lease from before a suspension is neither used nor passed on, and the response to a request from before it is rejected', t => {
	let lastWakeTime = Number.NEGATIVE_INFINITY;
	const leader = createRelayAt('leader', 1);
	leader.renewAsLeader({revision: toRevision(1), validUntil: 1}, 0);
	const child = new ConfigurationRelay({
		instance: toId<InstanceId>('child'), zone: zones[0]!, incarnation: 1, leaseMilliseconds, suspension: {lastWake: () => lastWakeTime},
	});
	requestLease(child, {parent: leader, name: 'leader', at: 0});
	t.true(child.isLeaseValid(10));
	const request = child.createRequest(11, toId<InstanceId>('leader'));
	const grant = leader.grantLease(request, 11)!;
	lastWakeTime = 12;
	t.false(child.isLeaseValid(12));
	t.is(child.grantLease(createRelayAt('below', 1).createRequest(13, toId<InstanceId>('child')), 13), undefined);
	t.false(child.acceptGrant({request, sentAt: 11, grant}));
	requestLease(child, {parent: leader, name: 'leader', at: 14});
	t.true(child.isLeaseValid(15));
});
