import {type InstanceId, type ServerId, type ZoneId} from '@valehitch/core';
import test from 'ava';
import fc from 'fast-check';
import {choosePermits} from './choose-permits.js';
import {divideRateLimit, type RateLimitPart} from './divide-rate-limit.js';
import {LeasedRateLimiter} from './leased-rate-limiter.js';
import {RateLeaseBook} from './rate-lease-book.js';
import {rateLeaseMilliseconds, rateWindowMilliseconds} from './rate-lease-terms.js';
import {rateLimitShare} from './rate-limit-share.js';

const seed = 20_261_203;
const server = {id: 'engine-1' as ServerId, zone: 'hall-a' as ZoneId};
const zones = ['hall-a', 'hall-b', 'hall-c'] as ZoneId[];
const stepMilliseconds = 10;
const endMilliseconds = 12_000;
const entryTimeoutMilliseconds = 3000;

type Scenario = {
	readonly entries: number;
	readonly controls: number;
	/** A replaced control instance grants beside its successor. */
	readonly extraControls: number;
	readonly limit: number;
	/** The chance that an entry instance or control instance restarts in a step. */
	readonly restartRate: number;
	/** The chance that a question or its reply is lost. */
	readonly lossRate: number;
	/** How long a reply may take, in milliseconds. */
	readonly delay: number;
	readonly start: number;
	/** How often an entry instance asks another one for sends, per step; never by default. */
	readonly loanRate?: number;
	/** The part of a limit that a control instance grants; by default that of `limit` over one second. */
	readonly part?: RateLimitPart;
};

type Entry = {
	readonly instance: InstanceId;
	readonly zone: ZoneId;
	limiter: LeasedRateLimiter;
	startedAt: number;
};

type Control = {
	book: RateLeaseBook;
	readonly heardAt: Map<Entry, number>;
};

/** Plays entry instances that send to one server whenever their leases allow it, and returns when they sent. */
function playSends({entries: entryCount, controls: controlCount, extraControls, limit, restartRate, lossRate, delay, start, loanRate = 0, part}: Scenario): readonly number[] {
	let state = start;
	const random = (): number => {
		state = ((state * 48_271) + 1) % 2_147_483_647;
		return state / 2_147_483_647;
	};

	const entries: Entry[] = Array.from({length: entryCount}, (_, index) => ({
		instance: `entry-${index}` as InstanceId, zone: zones[index % zones.length]!, limiter: new LeasedRateLimiter({startedAt: 0, isLender: true}), startedAt: 0,
	}));
	const controls: Control[] = Array.from({length: controlCount + extraControls}, () => ({
		book: new RateLeaseBook({startedAt: 0}), heardAt: new Map(),
	}));
	const {share, window} = part ?? {share: rateLimitShare(limit, {grantors: controlCount}), window: rateWindowMilliseconds};
	const end = Math.max(endMilliseconds, 4 * window);
	const inFlight: Array<{readonly at: number; readonly apply: () => void}> = [];
	const sends: number[] = [];

	const poll = (entry: Entry, now: number): void => {
		const index = Math.floor(random() * controls.length);
		const control = controls[index]!;
		if (random() < lossRate) {
			return;
		}

		const questionTime = random() * delay;
		const held = random() < 0.5 ? 0 : random() * 800;
		const {startedAt} = entry;
		inFlight.push({
			at: now + questionTime + held,
			apply() {
				const grantedAt = now + questionTime + held;
				control.heardAt.set(entry, grantedAt);
				const candidates = [...control.heardAt].filter(([, at]) => grantedAt - at <= entryTimeoutMilliseconds).map(([candidate]) => candidate);
				const wanted = choosePermits(server, {candidates, share}).get(entry.instance) ?? 0;
				const permits = control.book.grant(server.id, {
					holder: entry.instance, wanted, share, window, now: grantedAt,
				});
				if (random() < lossRate) {
					return;
				}

				inFlight.push({
					at: grantedAt + (random() * delay),
					apply() {
						if (entry.startedAt === startedAt) {
							entry.limiter.renew({source: `control-${index}` as InstanceId, leases: [[server.id, permits, window]], validUntil: now + held + rateLeaseMilliseconds});
						}
					},
				});
			},
		});
	};

	const borrow = (borrower: Entry, now: number): void => {
		const lender = entries[Math.floor(random() * entries.length)]!;
		const {startedAt} = borrower;
		inFlight.push({
			at: now + (random() * delay),
			apply() {
				const lentAt = this.at;
				const lent = lender.limiter.lend(server.id, 3, lentAt);
				inFlight.push({
					at: lentAt + (random() * delay),
					apply() {
						if (borrower.startedAt === startedAt) {
							borrower.limiter.addBorrowed(server.id, lent, now);
						}
					},
				});
			},
		});
	};

	for (let now = 0; now < end; now += stepMilliseconds) {
		for (let index = 0; index < inFlight.length; index++) {
			const message = inFlight[index]!;
			if (message.at <= now) {
				inFlight.splice(index, 1);
				index--;
				message.apply();
			}
		}

		for (const control of controls) {
			if (random() < restartRate) {
				control.book = new RateLeaseBook({startedAt: now});
				control.heardAt.clear();
			}
		}

		for (const entry of entries) {
			if (random() < restartRate) {
				entry.limiter = new LeasedRateLimiter({startedAt: now, isLender: true});
				entry.startedAt = now;
			}

			if (random() < stepMilliseconds / 300) {
				poll(entry, now);
			}

			if (random() < loanRate) {
				borrow(entry, now);
			}

			while (entry.limiter.allows(server.id, now)) {
				entry.limiter.countSend(server.id, now);
				sends.push(now);
			}
		}
	}

	return sends;
}

function mostInWindow(sends: readonly number[], window = rateWindowMilliseconds): number {
	let most = 0;
	let first = 0;
	for (const [index, at] of sends.entries()) {
		while (at - sends[first]! > window - stepMilliseconds) {
			first++;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
}

function drawScenario({maximumEntries, limit}: {readonly maximumEntries: number; readonly limit: {readonly min: number; readonly max: number}}): fc.Arbitrary<Scenario> {
	return fc.record({
		entries: fc.integer({min: 1, max: maximumEntries}),
		controls: fc.integer({min: 1, max: 7}),
		extraControls: fc.integer({min: 0, max: 1}),
		limit: fc.double({...limit, noNaN: true}),
		restartRate: fc.constantFrom(0, 0.0005, 0.005),
		lossRate: fc.constantFrom(0, 0.1, 0.6),
		delay: fc.constantFrom(2, 50, 900),
		start: fc.integer({min: 1, max: 1_000_000}),
		loanRate: fc.constantFrom(0, 0.01, 0.05),
	});
}

test('no second has more sends to a cold server than it tolerates, whoever restarts, is cut off or is replaced', t => {
	const scenario = drawScenario({maximumEntries: 240, limit: {min: 2, max: 60}});
	fc.assert(fc.property(scenario, drawn => {
		t.true(mostInWindow(playSends(drawn)) <= drawn.limit);
	}), {seed, numRuns: 25});
});

// A limit that nobody may use would keep a server idle until it is warm.
test('a calm deployment may use most of the limit', t => {
	const sends = playSends({
		entries: 64, controls: 6, extraControls: 0, limit: 24.5, restartRate: 0, lossRate: 0, delay: 2, start: 1,
	});
	t.true(mostInWindow(sends) >= 16);
	const candidates = Array.from({length: 2}, (_, index) => ({instance: `entry-${index}` as InstanceId, zone: server.zone}));
	t.is(choosePermits(server, {candidates, share: 3}).get(candidates[0]!.instance), 1);
	t.is(choosePermits(server, {candidates: candidates.slice(0, 1), share: 3}).get(candidates[0]!.instance), 3);
});

test('an instance of another zone gets a lease only where none of the zone of the server asks', t => {
	const local = {instance: 'local' as InstanceId, zone: server.zone};
	const remote = {instance: 'remote' as InstanceId, zone: zones[1]!};
	t.false(choosePermits(server, {candidates: [local, remote], share: 4}).has(remote.instance));
	t.is(choosePermits(server, {candidates: [remote], share: 4}).get(remote.instance), 4);
});

/** The window of a limit that a server names itself, and how far it may be exceeded. */
const named = {window: 4000, factor: 1.5, slack: 5};

test('no window has more sends to a server than the limit that it names, however low, whoever restarts, is cut off or is replaced', t => {
	const scenario = drawScenario({maximumEntries: 120, limit: {min: 0.3, max: 40}});
	fc.assert(fc.property(scenario, drawn => {
		const part = divideRateLimit(drawn.limit, {grantors: drawn.controls});
		const sends = playSends({...drawn, part});
		// A control instance that is being replaced grants its part beside its successor.
		const parts = drawn.controls + drawn.extraControls;
		t.true(mostInWindow(sends, part.window) <= drawn.limit * part.window / 1000 * parts / drawn.controls);
		t.true(mostInWindow(sends, named.window) <= (named.factor * drawn.limit * named.window / 1000) + named.slack);
	}), {seed, numRuns: 25});
});

// Whole sends per second would leave nothing of a low limit.
test('a calm deployment uses all of a limit of less than two requests per second', t => {
	for (const {limit, controls, entries} of [{limit: 1.7, controls: 3, entries: 7}, {limit: 0.3, controls: 5, entries: 64}]) {
		const part = divideRateLimit(limit, {grantors: controls});
		const sends = playSends({
			entries, controls, extraControls: 0, limit, restartRate: 0, lossRate: 0, delay: 2, start: 1, part,
		});
		// The first window is spent waiting for leases.
		const used = sends.length / (limit * 3 * part.window / 1000);
		t.true(used >= 0.9, `${sends.length} sends, ${used} of the limit`);
	}
});

test('a limit that allows less than a send a minute for each control instance is not divided', t => {
	t.deepEqual(divideRateLimit(0, {grantors: 3}), {share: 0, window: 60_000});
	t.deepEqual(divideRateLimit(0.01, {grantors: 3}), {share: 0, window: 60_000});
	t.deepEqual(divideRateLimit(0.1, {grantors: 3}), {share: 1, window: 30_000});
});

test('the permits of a low limit are not all held by one instance', t => {
	const candidates = Array.from({length: 21}, (_, index) => ({instance: `entry-${index}` as InstanceId, zone: server.zone}));
	const holders = ['control-1', 'control-2', 'control-3'].flatMap(grantor => [...choosePermits(server, {candidates, share: 1, grantor: grantor as InstanceId}).keys()]);
	t.is(new Set(holders).size, 3);
});
