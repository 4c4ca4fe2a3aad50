import test from 'ava';
import fc from 'fast-check';
import {
	type InstanceId, toId, toRevision, type ZoneId,
} from '@valehitch/core';
import {ConfigurationRelay, type LeaseGrant, type LeaseQuestion} from './configuration-relay.js';
import {InForceTracker} from './in-force-tracker.js';

const seed = 43;
const nodes = 6;
const leaseMilliseconds = 100;
const leaderLeaseMilliseconds = 40;
const zones = ['zone-a', 'zone-b', 'zone-c'].map(name => toId<ZoneId>(name));

const nodeIndex = fc.nat(nodes - 1);
const steps = fc.array(fc.oneof(
	{
		weight: 8, arbitrary: fc.record({
			type: fc.constant('exchange' as const), child: nodeIndex, parent: nodeIndex, there: fc.nat(30), back: fc.nat(60), lost: fc.boolean(), adopts: fc.boolean(),
		}),
	},
	{weight: 4, arbitrary: fc.record({type: fc.constant('wait' as const), milliseconds: fc.nat(40)})},
	{weight: 2, arbitrary: fc.record({type: fc.constant('commit' as const)})},
	{weight: 3, arbitrary: fc.record({type: fc.constant('renew-leader' as const)})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('elect' as const), node: nodeIndex})},
	{weight: 1, arbitrary: fc.record({type: fc.constant('restart' as const), node: nodeIndex})},
), {minLength: 60, maxLength: 250});

type Step = (typeof steps) extends fc.Arbitrary<Array<infer One>> ? One : never;

/** Runs relays on one true time line; each node's clock has its own start and rate. */
class Trial {
	now = 0;
	/** How often a revision was found in force while an earlier one still had a lease somewhere before. */
	found = 0;
	readonly #relays: ConfigurationRelay[] = [];
	readonly #messages: Array<{readonly at: number; readonly deliver: () => void}> = [];
	readonly #views = new Map<number, {readonly revision: number; readonly until: number}>();
	#hasGoneBack = false;
	#incarnation = 0;
	#committed = 1;
	#leader = 0;
	#leaderUntil = leaderLeaseMilliseconds;
	#tracker: InForceTracker;

	constructor() {
		for (let index = 0; index < nodes; index++) {
			this.#relays.push(this.#make(index));
		}

		this.#tracker = this.#lead();
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
					this.#tracker = this.#lead();
				}

				break;
			}

			case 'restart': {
				if (step.node !== this.#leader) {
					this.#relays[step.node] = this.#make(step.node);
					this.#views.delete(step.node);
				}

				break;
			}
		}
	}

	/** The rule that must always hold: what the leader calls in force is in force wherever a lease is valid. */
	violation(): string | undefined {
		if (this.#hasGoneBack) {
			return 'a revision went back';
		}

		this.#refresh();
		if (this.now < this.#leaderUntil) {
			const answer = this.#tracker.look({revision: toRevision(this.#committed), now: this.#clock(this.#leader), zones});
			this.found += answer.complete ? 1 : 0;
		}

		const behind = this.#relays.findIndex((relay, index) => relay.isLeaseValid(this.#clock(index)) && relay.revision < this.#tracker.inForce);
		return behind === -1 ? undefined : `node ${behind} may serve by ${this.#relays[behind]?.revision} while ${this.#tracker.inForce} is in force at ${this.now}`;
	}

	#relay(index: number): ConfigurationRelay {
		return this.#relays[index]!;
	}

	#make(index: number): ConfigurationRelay {
		return new ConfigurationRelay({
			instance: toId<InstanceId>(`node-${index}`), zone: zones[index % zones.length]!, incarnation: ++this.#incarnation, leaseMilliseconds,
		});
	}

	/** The monotonic clock of a node: another start and up to 0.4 % slower or faster. */
	#clock(index: number, at: number = this.now): number {
		return (1000 * index) + (at * (1 + ((index - 2.5) * 0.0016)));
	}

	#lead(): InForceTracker {
		const relay = this.#relay(this.#leader);
		relay.adopt(toRevision(this.#committed));
		return new InForceTracker({relay, leaseMilliseconds, leaderSince: this.#clock(this.#leader)});
	}

	/** Has the leader renew its own lease, and every former leader try to by what it knew last. */
	#refresh(): void {
		if (this.now < this.#leaderUntil) {
			this.#relay(this.#leader).adopt(toRevision(this.#committed));
			this.#views.set(this.#leader, {revision: this.#committed, until: this.#leaderUntil});
		}

		for (const [index, {revision, until}] of this.#views) {
			this.#relay(index).renewAsLeader({revision: toRevision(revision), validUntil: this.#clock(index, until)}, this.#clock(index));
		}
	}

	#exchange({child, parent, there, back, lost, adopts}: Step & {type: 'exchange'}): void {
		const asker = this.#relay(child);
		const sentAt = this.#clock(child);
		const question = asker.question(sentAt);
		this.#send(there, () => {
			this.#refresh();
			const grant = this.#relay(parent).answer(question, this.#clock(parent));
			const held = this.#relay(parent).revision;
			if (!lost && grant !== undefined) {
				this.#send(back, () => {
					this.#take(child, {
						asker, question, sentAt, grant, held: adopts ? held : toRevision(0),
					});
				});
			}
		});
	}

	#take(child: number, answer: {asker: ConfigurationRelay; question: LeaseQuestion; sentAt: number; grant: LeaseGrant; held: number}): void {
		if (this.#relay(child) === answer.asker) {
			const before = answer.asker.revision;
			answer.asker.adopt(toRevision(answer.held));
			answer.asker.take(answer);
			this.#hasGoneBack ||= answer.asker.revision < before;
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
			this.now = next.at;
			next.deliver();
		}

		this.now = until;
	}
}

test('a revision that the leader calls in force is in force wherever a lease is valid', t => {
	let found = 0;
	fc.assert(fc.property(steps, taken => {
		const trial = new Trial();
		for (const step of taken) {
			trial.run(step);
			const violation = trial.violation();
			if (violation !== undefined) {
				throw new Error(violation);
			}
		}

		found += trial.found;
	}), {seed, numRuns: 3000});
	t.log(`${found} times in force`);
	t.true(found > 1000);
});

test('a lease counts from when the question was sent, and an answer to an earlier question is passed over', t => {
	const make = (name: string): ConfigurationRelay => new ConfigurationRelay({
		instance: toId<InstanceId>(name), zone: zones[0]!, incarnation: 1, leaseMilliseconds,
	});
	const leader = make('leader');
	leader.adopt(toRevision(1));
	leader.renewAsLeader({revision: toRevision(1), validUntil: 1}, 0);
	const child = make('child');
	child.adopt(toRevision(1));
	const question = child.question(5000);
	const grant = leader.answer(question, 20)!;
	t.is(grant.remainingMilliseconds, 80);
	t.true(child.take({question, sentAt: 5000, grant}));
	t.true(child.isLeaseValid(5079));
	t.false(child.isLeaseValid(5080));
	child.question(5010);
	t.false(child.take({question, sentAt: 5000, grant}));
});
