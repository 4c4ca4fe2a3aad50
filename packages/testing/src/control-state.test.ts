import assert from 'node:assert/strict';
import process from 'node:process';
import test from 'ava';
import {type Command, type CommandResult, ControlState} from '@valehitch/control';
import {
	type Bill, type RequestId, toId, type VersionId, type WorkspaceId,
} from '@valehitch/core';
import fc from 'fast-check';
import {anyCommand} from './_control-commands.js';
import {
	ControlOracle, summarizeResult, oracleLimits, oracleModel as model,
} from './_control-oracle.js';

const seed = Number(process.env.VALEHITCH_FUZZ_SEED ?? 20_261_202);
const runs = Number(process.env.VALEHITCH_FUZZ_RUNS ?? 2000);
const step = fc.record({
	maker: anyCommand, milliseconds: fc.integer({min: 0, max: 40_000}), resends: fc.constantFrom(0, 0, 0, 1, 3), event: fc.constantFrom('none', 'none', 'none', 'snapshot', 'crash', 'archive'),
});

/** A replica with its log, which is truncated at snapshots and replayed after a crash. */
class Replica {
	state = new ControlState();
	archived: Bill[] = [];
	index = 0;
	#snapshot = this.state.toSnapshot();
	#log: Array<{command: Command; index: number; result: CommandResult}> = [];

	apply(command: Command): CommandResult {
		const index = ++this.index;
		const result = this.state.apply(command, {term: 1, index});
		this.#log.push({command, index, result});
		return result;
	}

	snapshot(): void {
		this.#snapshot = this.state.toSnapshot();
		this.#log = [];
	}

	crash(): void {
		const before = this.state.toSnapshot();
		this.state = ControlState.fromSnapshot(this.#snapshot);
		for (const {command, index, result} of this.#log) {
			assert.deepEqual(this.state.apply(command, {term: 1, index}).extract(), result.extract());
		}

		assert.deepEqual(this.state.toSnapshot(), before);
	}

	archive(): void {
		const {firstPosition, bills} = this.state.archivableBills();
		this.archived.push(...bills);
		this.state.dropArchived(firstPosition + bills.length - 1);
		this.snapshot();
	}
}

function checkBills(result: CommandResult, {bills, oracle}: {bills: readonly Bill[]; oracle: ControlOracle}): void {
	const answer = result.unsafeCoerce() as {recorded: number; expired: readonly RequestId[]};
	let recorded = 0;
	for (const bill of bills) {
		const {request, origin} = bill;
		const isRefused = answer.expired.includes(request);
		const isNew = !oracle.billed.has(request) && !isRefused;
		assert.ok(origin === undefined || isRefused === oracle.isRefused(bill), 'a bill with an origin is refused exactly when its run has expired');
		recorded += isNew ? 1 : 0;
		if (!isRefused) {
			oracle.billed.add(request);
		}
	}

	assert.equal(answer.recorded, recorded);
}

test(`the state gives the same results as the reference model across resends, crashes and snapshots (seed ${seed}, ${runs} cases)`, t => {
	const property = fc.property(fc.array(step, {minLength: 20, maxLength: 60}), steps => {
		const replica = new Replica();
		const oracle = new ControlOracle();
		replica.apply({type: 'set-limits', limits: oracleLimits});
		let at = 1000;
		const sent: Command[] = [];
		for (const {maker: make, milliseconds, resends, event} of steps) {
			at += milliseconds;
			const first = make({at, oracle});
			const resent = resends === 0 ? [] : sent.slice(-resends);
			sent.push(first);
			for (const command of [first, ...withTime(resent, at)]) {
				const result = replica.apply(command);
				const verdict = oracle.apply(command, replica.index);
				if (verdict !== undefined) {
					assert.deepEqual(summarizeResult(result), verdict);
				}

				if (command.type === 'record-bills') {
					checkBills(result, {bills: command.bills, oracle});
				}
			}

			if (event === 'snapshot' || event === 'crash' || event === 'archive') {
				replica[event]();
			}

			checkState(replica, oracle);
		}
	});
	t.notThrows(() => {
		fc.assert(property, {seed, numRuns: runs});
	});
});

function withTime(commands: readonly Command[], at: number): readonly Command[] {
	return commands.map(command => 'at' in command ? {...command, at} : command);
}

function checkState({state, archived}: Replica, oracle: ControlOracle): void {
	assert.equal(state.effective.revision, oracle.revision);
	for (const version of ['a', 'b']) {
		const progress = state.effective.rollouts[`${model}@${version}`];
		assert.equal(state.effective.document.models[model]?.versions[version as VersionId]?.state ?? 'absent', oracle.listed[version] ?? 'absent');
		assert.deepEqual(progress && {status: progress.status, stage: progress.stage}, oracle.progress[version]);
	}

	assert.deepEqual(state.openOrders().map(({orderId}) => orderId), oracle.orders.filter(({outcome}) => outcome === 'open').map(({id}) => id));
	const bills = [...archived, ...state.bills];
	assert.equal(new Set(bills.map(({request}) => request)).size, bills.length, 'no bill occurs twice');
	for (const workspace of ['w0', 'w1'].map(id => toId<WorkspaceId>(id))) {
		const workspaceBills = bills.filter(bill => bill.workspace === workspace);
		assert.deepEqual(state.workspaceTotal(workspace), {bills: workspaceBills.length, micros: workspaceBills.reduce((sum, {total}) => sum + total, 0)});
	}
}
