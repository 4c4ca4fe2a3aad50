import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {
	type Bill, failure, type InstanceId, type Micros, type RequestId, toId, type WorkspaceId, type ZoneId,
} from '@valehitch/core';
import {Left, Right} from 'purify-ts';
import {type Member} from '../../member.js';
import {BillKeeper} from './bill-keeper.js';
import {HeldBills} from './held-bills.js';
import {LedgerOutbox} from './ledger-outbox.js';

const names = ['a', 'b', 'c'] as const;
const lostAfterMilliseconds = 4000;
const seed = 20_261_202;

type Name = typeof names[number];

/** The caller's view of a request. */
type Seen = {
	readonly owner: Name;
	/** Whether the store has settled the bill, so that the caller received the last byte. */
	settled: boolean;
};

/** A simulation of three instances with links that can be cut and a ledger that can be unreachable. Only what callers and the ledger observe is checked. */
class World {
	readonly ledger = new Map<RequestId, Bill[]>();
	readonly seen = new Map<RequestId, Seen>();
	readonly cut = new Set<string>();
	ledgerIsThere = true;
	#now = 0;
	#last = 0;
	readonly #instances = new Map<Name, {keeper: BillKeeper; held: HeldBills; outbox: LedgerOutbox}>();

	constructor() {
		for (const name of names) {
			this.#start(name);
		}
	}

	get outboxes(): number {
		return [...this.#instances.values()].reduce((total, {outbox, held, keeper}) => total + outbox.size + held.size + keeper.size, 0);
	}

	async open(name: Name): Promise<void> {
		const instance = this.#instances.get(name);
		const request = toId<RequestId>(`r${++this.#last}`);
		const opened = await instance?.keeper.open({workspace: toId<WorkspaceId>('yard'), request, openedAt: 0});
		if (opened?.isRight() === true) {
			this.seen.set(request, {owner: name, settled: false});
		}
	}

	settle(name: Name): void {
		const instance = this.#instances.get(name);
		const [request, seen] = [...this.seen].find(([, {owner, settled}]) => owner === name && !settled) ?? [];
		if (instance === undefined || request === undefined || seen === undefined || instance.keeper.answerOwned({scope: 'entry', type: 'owned-bills', requests: [request]}).needed.length === 0) {
			return;
		}

		void this.#settle(instance.keeper, request, seen);
	}

	kill(name: Name): void {
		const instance = this.#instances.get(name);
		this.#instances.delete(name);
		instance?.outbox.close();
	}

	restart(name: Name): void {
		if (!this.#instances.has(name)) {
			this.#start(name);
		}
	}

	/** Advances the clock, runs the periodic maintenance of all instances and delivers messages. */
	async pass(): Promise<void> {
		this.#now += lostAfterMilliseconds + 1;
		for (const {keeper, held} of this.#instances.values()) {
			keeper.renew();
			held.recover(new Set([...this.#instances.keys()].map(name => toId<InstanceId>(name))));
			for (const silent of held.silent()) {
				const owner = this.#instances.get(String(silent.owner) as Name);
				if (owner !== undefined) {
					held.takeReply(silent, owner.keeper.answerOwned({scope: 'entry', type: 'owned-bills', requests: silent.requests}));
				}
			}
		}

		await turns();
	}

	async #settle(keeper: BillKeeper, request: RequestId, seen: Seen): Promise<void> {
		await keeper.settle({
			workspace: toId<WorkspaceId>('yard'), request, instance: toId<InstanceId>(seen.owner), lines: [], total: 7 as Micros, outcome: 'answered', settledAt: 0,
		});
		seen.settled = true;
	}

	#start(name: Name): void {
		const clock = {now: () => new Date(this.#now), monotonic: () => this.#now};
		const outbox = new LedgerOutbox({
			propose: async command => {
				if (!this.ledgerIsThere) {
					return Left(failure('no-quorum', 'Got no quorum'));
				}

				for (const bill of command.type === 'record-bills' ? command.bills : []) {
					this.ledger.set(bill.request, [...this.ledger.get(bill.request) ?? [], bill]);
				}

				return Right({revision: 0, recorded: 0, expired: []});
			},
			async wait() {
				await nextTurn();
			},
		});
		const held = new HeldBills({
			clock, maximumCopies: 100, lostAfterMilliseconds, onRecovered(bill) {
				keeper.adopt(bill);
			},
		});
		const keeper = new BillKeeper({
			self: memberOf(name),
			start: `${name}-${++this.#last}`,
			startedAt: this.#last,
			clock,
			outbox,
			members: () => [...this.#instances.keys()].map(found => memberOf(found)),
			request: async (to, message) => {
				await nextTurn();
				const holder = this.#instances.get(String(to.instance) as Name);
				const isCut = this.cut.has(`${name}${to.instance}`) || !this.#instances.has(name);
				return holder === undefined || isCut ? Left(failure('no-quorum', 'Got no reply')) : Right(holder.held.hold(message));
			},
		});
		this.#instances.set(name, {keeper, held, outbox});
	}
}

function memberOf(name: Name): Member {
	return {
		instance: toId<InstanceId>(name), zone: toId<ZoneId>('zone'), host: '127.0.0.1', port: 1,
	};
}

async function turns(): Promise<void> {
	for (let turn = 0; turn < 12; turn++) {
		await nextTurn();
	}
}

type Step = {readonly type: 'open' | 'settle' | 'cut' | 'ledger' | 'pass' | 'turn'; readonly name: Name};

const step = fc.record<Step>({
	type: fc.constantFrom('open', 'open', 'settle', 'settle', 'cut', 'ledger', 'pass', 'turn'),
	name: fc.constantFrom(...names),
});

async function take(world: World, {type, name}: Step): Promise<void> {
	switch (type) {
		case 'open': {
			await world.open(name);
			break;
		}

		case 'settle': {
			world.settle(name);
			break;
		}

		case 'cut': {
			const link = `${name}${name === 'a' ? 'b' : 'a'}`;
			if (!world.cut.delete(link)) {
				world.cut.add(link);
			}

			break;
		}

		case 'ledger': {
			world.ledgerIsThere = !world.ledgerIsThere;
			break;
		}

		case 'pass': {
			await world.pass();
			break;
		}

		case 'turn': {
			await nextTurn();
			break;
		}
	}
}

async function heal(world: World): Promise<void> {
	world.cut.clear();
	world.ledgerIsThere = true;
	for (let round = 0; round < 6; round++) {
		await world.pass();
	}
}

/** Checks that each answered request is in the ledger as answered, that each bill of a lost instance is in the ledger, and that no bill of a running instance was recovered as unknown. */
function check(world: World, ended: ReadonlySet<Name>): void {
	for (const [request, {owner, settled}] of world.seen) {
		const bills = world.ledger.get(request) ?? [];
		if (settled && !bills.some(({outcome}) => outcome === 'answered')) {
			throw new Error(`No answered bill in the ledger for ${request} of ${owner}, although its answer was sent`);
		}

		if (ended.has(owner) && bills.length === 0) {
			throw new Error(`No bill in the ledger for ${request} of ${owner}, which was lost`);
		}

		if (!ended.has(owner) && bills.some(({outcome}) => outcome === 'unknown')) {
			throw new Error(`A bill was recovered for ${request} of ${owner}, which is running`);
		}
	}
}

test('each opened bill reaches the ledger after the loss of any instance and any earlier link failures', async t => {
	await t.notThrowsAsync(async () => fc.assert(fc.asyncProperty(fc.array(step, {maxLength: 40}), fc.constantFrom(...names), fc.boolean(), async (steps, victim, isRestarted) => {
		const world = new World();
		for (const next of steps) {
			await take(world, next);
		}

		// Only one failure is tolerated at a time, so the copies are replaced after the last link failure.
		world.cut.clear();
		await world.pass();
		world.kill(victim);
		if (isRestarted) {
			world.restart(victim);
		}

		await heal(world);
		check(world, new Set([victim]));
	}), {seed, numRuns: 400}));
});

test('no bill is lost when an instance is lost at any moment and another one after the copies were replaced', async t => {
	const calm = step.filter(({type}) => type !== 'cut');
	await t.notThrowsAsync(async () => fc.assert(fc.asyncProperty(fc.array(calm, {maxLength: 40}), fc.shuffledSubarray([...names], {minLength: 2, maxLength: 2}), async (steps, victims) => {
		const world = new World();
		for (const next of steps) {
			await take(world, next);
		}

		for (const victim of victims) {
			world.kill(victim);
			await world.pass();
			await world.pass();
		}

		await heal(world);
		check(world, new Set(victims));
	}), {seed, numRuns: 400}));
});

test('bills are settled while the ledger is unreachable and reach it once it is available', async t => {
	const world = new World();
	world.ledgerIsThere = false;
	await world.open('a');
	world.settle('a');
	await turns();
	const [seen] = world.seen.values();
	t.true(seen?.settled);
	t.is(world.ledger.size, 0);
	await heal(world);
	t.is(world.ledger.size, 1);
	t.is(world.outboxes, 0);
});

test('a bill is refused without another instance and the ledger, or above the limit of pending bills', async t => {
	const outbox = new LedgerOutbox({
		propose: async () => Left(failure('no-quorum', 'Got no quorum')),
		async wait() {
			await nextTurn();
		},
	});
	const clock = {now: () => new Date(0), monotonic: () => 0};
	const keeper = new BillKeeper({
		self: memberOf('a'), start: 'a', startedAt: 0, clock, outbox, members: () => [memberOf('a')], request: async () => Left(failure('no-quorum', 'Got none')), maximumBills: 2,
	});
	const open = async (request: string) => keeper.open({workspace: toId<WorkspaceId>('yard'), request: toId<RequestId>(request), openedAt: 0});
	const opened = await open('r1');
	t.true(opened.isRight());
	void keeper.settle({
		workspace: toId<WorkspaceId>('yard'), request: toId<RequestId>('r1'), instance: toId<InstanceId>('a'), lines: [], total: 0 as Micros, outcome: 'answered', settledAt: 0,
	});
	await turns();
	const refused = await open('r2');
	t.is(refused.swap().toMaybe().extract()?.kind, 'no-quorum');
	outbox.close();
});
