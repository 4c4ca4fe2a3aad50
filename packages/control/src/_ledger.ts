import {type Bill, type RequestId, type WorkspaceId} from '@valehitch/core';
import {BillOrigins, type BillOriginsData, emptyBillOrigins} from './_bill-origins.js';
import {type CommandContext} from './_command-context.js';
import {type RecordBillsCommand} from './command.js';
import {type ControlLimits} from './control-limits.js';
import {type LedgerPage, type LedgerQuery, type WorkspaceTotal} from './ledger-page.js';
import {RefusedBills} from './_refused-bills.js';
import {type InsertResult} from './_sequence-ranges.js';

/** The snapshot form of `Ledger`. */
export type LedgerData = BillOriginsData & {
	readonly first: number;
	readonly bills: readonly Bill[];
	readonly totals: ReadonlyArray<readonly [WorkspaceId, WorkspaceTotal]>;
	readonly window: ReadonlyArray<readonly [string, number]>;
	readonly windowForgotten: number;
	/** Absent from snapshots of versions that did not keep refused bills. */
	readonly refused?: readonly Bill[];
};

const emptyLedger: LedgerData = {
	...emptyBillOrigins, first: 1, bills: [], totals: [], window: [], windowForgotten: 0,
};

/** The recorded bills. Each is recorded once; a bill that may be a duplicate is refused. */
export class Ledger {
	/** The position of the first bill that is not archived. Positions start at 1. */
	#first: number;
	#bills: Bill[];
	readonly #totals: Map<WorkspaceId, WorkspaceTotal>;
	readonly #origins: BillOrigins;
	readonly #refused: RefusedBills;
	/** The settlement times of the latest bills without an origin, in the order of recording, to detect duplicates. */
	readonly #deduplicationWindow: Map<string, number>;
	/** The latest `settledAt` of a bill removed from the window. An unknown bill settled no later may be a duplicate. */
	#windowFloor: number;

	constructor(data: LedgerData = emptyLedger) {
		this.#first = data.first;
		this.#bills = [...data.bills];
		this.#totals = new Map(data.totals);
		this.#origins = new BillOrigins(data);
		this.#refused = new RefusedBills(data.refused);
		this.#deduplicationWindow = new Map(data.window);
		this.#windowFloor = data.windowForgotten;
	}

	get bills(): readonly Bill[] {
		return this.#bills;
	}

	get refused(): readonly Bill[] {
		return this.#refused.bills;
	}

	get positions(): {readonly first: number; readonly last: number} {
		return {first: this.#first, last: this.#first + this.#bills.length - 1};
	}

	record({bills, running}: RecordBillsCommand, {limits, clock}: CommandContext): {readonly recorded: number; readonly expired: readonly RequestId[]} {
		if (running !== undefined) {
			this.#origins.touch(running, clock.elapsed);
		}

		const expired: RequestId[] = [];
		let recorded = 0;
		for (const bill of bills) {
			const result = bill.origin === undefined ? this.#addToDeduplicationWindow(bill, limits) : this.#origins.add({instance: bill.instance, ...bill.origin}, clock.elapsed);
			if (result === 'below-floor') {
				expired.push(bill.request);
				this.#refused.add(bill);
			}

			if (result === 'added') {
				this.#append(bill);
				recorded++;
			}
		}

		return {recorded, expired};
	}

	read({workspace, after, limit, isRefused = false}: LedgerQuery): LedgerPage {
		if (isRefused) {
			return {bills: this.refused.filter(bill => workspace === undefined || bill.workspace === workspace), archivedUpTo: 0};
		}

		const bills: Bill[] = [];
		const start = Math.max(after + 1, this.#first);
		for (const [offset, bill] of this.#bills.slice(start - this.#first).entries()) {
			if (workspace !== undefined && bill.workspace !== workspace) {
				continue;
			}

			bills.push(bill);
			if (bills.length === limit) {
				return {bills, archivedUpTo: this.#first - 1, next: start + offset};
			}
		}

		return {bills, archivedUpTo: this.#first - 1};
	}

	total(workspace: WorkspaceId): WorkspaceTotal {
		return this.#totals.get(workspace) ?? {bills: 0, micros: 0};
	}

	archivable({recentBills}: ControlLimits): {readonly firstPosition: number; readonly bills: readonly Bill[]} {
		return {firstPosition: this.#first, bills: this.#bills.slice(0, Math.max(0, this.#bills.length - recentBills))};
	}

	deleteArchived(lastPosition: number): void {
		const count = Math.min(Math.max(0, lastPosition - this.#first + 1), this.#bills.length);
		this.#bills = this.#bills.slice(count);
		this.#first += count;
	}

	expire({limits: {originMilliseconds}, clock}: CommandContext): void {
		this.#origins.evictIdle(clock.elapsed - originMilliseconds);
	}

	toData(): LedgerData {
		return {
			...this.#origins.toData(),
			first: this.#first,
			bills: this.#bills,
			totals: [...this.#totals],
			window: [...this.#deduplicationWindow],
			windowForgotten: this.#windowFloor,
			refused: this.#refused.bills,
		};
	}

	#append(bill: Bill): void {
		this.#bills.push(bill);
		const {bills, micros} = this.total(bill.workspace);
		this.#totals.set(bill.workspace, {bills: bills + 1, micros: micros + bill.total});
	}

	#addToDeduplicationWindow(bill: Bill, {billWindow}: ControlLimits): InsertResult {
		const key = `${bill.workspace}/${bill.request}`;
		if (this.#deduplicationWindow.has(key)) {
			return 'present';
		}

		if (bill.settledAt <= this.#windowFloor) {
			return 'below-floor';
		}

		this.#deduplicationWindow.set(key, bill.settledAt);
		for (const [oldest, settledAt] of this.#deduplicationWindow) {
			if (this.#deduplicationWindow.size <= billWindow) {
				break;
			}

			this.#deduplicationWindow.delete(oldest);
			this.#windowFloor = Math.max(this.#windowFloor, settledAt);
		}

		return 'added';
	}
}
