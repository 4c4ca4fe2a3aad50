import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import fc from 'fast-check';
import {
	type Bill, failure, type InstanceId, type Micros, type RequestId, toId, type WorkspaceId, type ZoneId,
} from '@valehitch/core';
import {Left, Right} from 'purify-ts';
import {type Member} from '../../member.js';
import {BillStore} from './bill-store.js';
import {BillCopyStore} from './bill-copy-store.js';
import {LedgerOutbox} from './ledger-outbox.js';

const names = ['a', 'b', 'c'] as const;
const lostAfterMilliseconds = 4000;
const seed = 20_261_202;

type Name = typeof names[number];

/** The caller's view of a request. */
type ObservedRequest = {
	readonly owner: Name;
	/** Whether the store has settled the bill, so that the caller received the last byte. */
	settled: boolean;
};

/** A simulation of three instances with links that can be cut and a ledger that can be unreachable. Only what callers and the ledger observe is checked. */
class Simulation {
	readonly ledger = new Map<RequestId, Bill[]>();
	readonly observed = new Map<RequestId, ObservedRequest>();
	readonly cut = new Set<string>();
	isLedgerReachable = true;
	#now = 0;
	#lastNumber = 0;
	readonly #instances = new Map<Name, {store: BillStore; copies: BillCopyStore; outbox: LedgerOutbox}>();

	constructor() {
		for (const name of names) {
			this.#start(name);
		}
	}

	get pendingBills(): number {
		return [...this.#instances.values()].reduce((total, {outbox, copies, store}) => total + outbox.size + copies.size + store.size, 0);
	}

	async open(name: Name): Promise<void> {
		const instance = this.#instances.get(name);
		const request = toId<RequestId>(`r${++this.#lastNumber}`);
		const opened = await instance?.store.open({workspace: toId<WorkspaceId>('yard'), request, openedAt: 0});
		if (opened?.isRight() === true) {
			this.observed.set(request, {owner: name, settled: false});
		}
	}

	settle(name: Name): void {
		const instance = this.#instances.get(name);
		const [request, observed] = [...this.observed].find(([, {owner, settled}]) => owner === name && !settled) ?? [];
		if (instance === undefined || request === undefined || observed === undefined || instance.store.answerOwned({scope: 'entry', type: 'owned-bills', requests: [request]}).needed.length === 0) {
			return;
		}

		void this.#settle(instance.store, request, observed);
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
	async advance(): Promise<void> {
		this.#now += lostAfterMilliseconds + 1;
		for (const {store, copies} of this.#instances.values()) {
			store.renew();
			copies.recover(new Set([...this.#instances.keys()].map(name => toId<InstanceId>(name))));
			for (const silent of copies.silentOwners()) {
				const owner = this.#instances.get(String(silent.owner) as Name);
				if (owner !== undefined) {
					copies.handleReply(silent, owner.store.answerOwned({scope: 'entry', type: 'owned-bills', requests: silent.requests}));
				}
			}
		}

		await flushEvents();
	}

	async #settle(store: BillStore, request: RequestId, observed: ObservedRequest): Promise<void> {
		await store.settle({
			workspace: toId<WorkspaceId>('yard'), request, instance: toId<InstanceId>(observed.owner), lines: [], total: 7 as Micros, outcome: 'answered', settledAt: 0,
		});
		observed.settled = true;
	}

	#start(name: Name): void {
		const clock = {now: () => new Date(this.#now), monotonic: () => this.#now};
		const outbox = new LedgerOutbox({
			propose: async command => {
				if (!this.isLedgerReachable) {
					return Left(failure('no-quorum', 'No quorum'));
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
		const copies = new BillCopyStore({
			clock, maximumCopies: 100, lostAfterMilliseconds, onRecovered(bill) {
				store.adopt(bill);
			},
		});
		const store = new BillStore({
			self: memberOf(name),
			runId: `${name}-${++this.#lastNumber}`,
			startedAt: this.#lastNumber,
			clock,
			outbox,
			members: () => [...this.#instances.keys()].map(member => memberOf(member)),
			request: async (to, message) => {
				await nextTurn();
				const holder = this.#instances.get(String(to.instance) as Name);
				const isCut = this.cut.has(`${name}${to.instance}`) || !this.#instances.has(name);
				return holder === undefined || isCut ? Left(failure('no-quorum', 'No reply')) : Right(holder.copies.hold(message));
			},
		});
		this.#instances.set(name, {store, copies, outbox});
	}
}

function memberOf(name: Name): Member {
	return {
		instance: toId<InstanceId>(name), zone: toId<ZoneId>('zone'), host: '127.0.0.1', port: 1,
	};
}

async function flushEvents(): Promise<void> {
	for (let iteration = 0; iteration < 12; iteration++) {
		await nextTurn();
	}
}

type Step = {readonly type: 'open' | 'settle' | 'cut' | 'ledger' | 'pass' | 'turn'; readonly name: Name};

const step = fc.record<Step>({
	type: fc.constantFrom('open', 'open', 'settle', 'settle', 'cut', 'ledger', 'pass', 'turn'),
	name: fc.constantFrom(...names),
});

async function applyStep(simulation: Simulation, {type, name}: Step): Promise<void> {
	switch (type) {
		case 'open': {
			await simulation.open(name);
			break;
		}

		case 'settle': {
			simulation.settle(name);
			break;
		}

		case 'cut': {
			const link = `${name}${name === 'a' ? 'b' : 'a'}`;
			if (!simulation.cut.delete(link)) {
				simulation.cut.add(link);
			}

			break;
		}

		case 'ledger': {
			simulation.isLedgerReachable = !simulation.isLedgerReachable;
			break;
		}

		case 'pass': {
			await simulation.advance();
			break;
		}

		case 'turn': {
			await nextTurn();
			break;
		}
	}
}

async function recoverAll(simulation: Simulation): Promise<void> {
	simulation.cut.clear();
	simulation.isLedgerReachable = true;
	for (let round = 0; round < 6; round++) {
		await simulation.advance();
	}
}

/** Checks that each answered request is in the ledger as answered, that each bill of a lost instance is in the ledger, and that no bill of a running instance was recovered as unknown. */
function check(simulation: Simulation, ended: ReadonlySet<Name>): void {
	for (const [request, {owner, settled}] of simulation.observed) {
		const bills = simulation.ledger.get(request) ?? [];
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
		const simulation = new Simulation();
		for (const next of steps) {
			await applyStep(simulation, next);
		}

		// Only one failure is tolerated at a time, so the copies are replaced after the last link failure.
		simulation.cut.clear();
		await simulation.advance();
		simulation.kill(victim);
		if (isRestarted) {
			simulation.restart(victim);
		}

		await recoverAll(simulation);
		check(simulation, new Set([victim]));
	}), {seed, numRuns: 400}));
});

test('no bill is lost when an instance is lost at any moment and another one after the copies were replaced', async t => {
	const stepWithoutCuts = step.filter(({type}) => type !== 'cut');
	await t.notThrowsAsync(async () => fc.assert(fc.asyncProperty(fc.array(stepWithoutCuts, {maxLength: 40}), fc.shuffledSubarray([...names], {minLength: 2, maxLength: 2}), async (steps, victims) => {
		const simulation = new Simulation();
		for (const next of steps) {
			await applyStep(simulation, next);
		}

		for (const victim of victims) {
			simulation.kill(victim);
			await simulation.advance();
			await simulation.advance();
		}

		await recoverAll(simulation);
		check(simulation, new Set(victims));
	}), {seed, numRuns: 400}));
});

test('bills are settled while the ledger is unreachable and reach it once it is available', async t => {
	const simulation = new Simulation();
	simulation.isLedgerReachable = false;
	await simulation.open('a');
	simulation.settle('a');
	await flushEvents();
	const [observed] = simulation.observed.values();
	t.true(observed?.settled);
	t.is(simulation.ledger.size, 0);
	await recoverAll(simulation);
	t.is(simulation.ledger.size, 1);
	t.is(simulation.pendingBills, 0);
});

test('a bill is refused without another instance and the ledger, or above the limit of pending bills', async t => {
	const outbox = new LedgerOutbox({
		propose: async () => Left(failure('no-quorum', 'No quorum')),
		async wait() {
			await nextTurn();
		},
	});
	const clock = {now: () => new Date(0), monotonic: () => 0};
	const store = new BillStore({
		self: memberOf('a'), runId: 'a', startedAt: 0, clock, outbox, members: () => [memberOf('a')], request: async () => Left(failure('no-quorum', 'No reply')), maximumBills: 2,
	});
	const open = async (request: string) => store.open({workspace: toId<WorkspaceId>('yard'), request: toId<RequestId>(request), openedAt: 0});
	const opened = await open('r1');
	t.true(opened.isRight());
	void store.settle({
		workspace: toId<WorkspaceId>('yard'), request: toId<RequestId>('r1'), instance: toId<InstanceId>('a'), lines: [], total: 0 as Micros, outcome: 'answered', settledAt: 0,
	});
	await flushEvents();
	const refused = await open('r2');
	t.is(refused.swap().toMaybe().extract()?.kind, 'no-quorum');
	outbox.close();
});
