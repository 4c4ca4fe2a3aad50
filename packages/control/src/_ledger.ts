import {type Bill, type RequestId, type WorkspaceId} from '@valehitch/core';
import {BillOrigins, type BillOriginsData, emptyBillOrigins} from './_bill-origins.js';
import {type CommandContext} from './_command-context.js';
import {type RecordBillsCommand} from './command.js';
import {type ControlLimits} from './control-limits.js';
import {type LedgerPage, type LedgerQuestion, type WorkspaceTotal} from './ledger-page.js';
import {RefusedBills} from './_refused-bills.js';
import {type Addition} from './_sequence-ranges.js';

/** The ledger in a snapshot. */
export type LedgerData = BillOriginsData & {
	readonly first: number;
	readonly bills: readonly Bill[];
	readonly totals: ReadonlyArray<readonly [WorkspaceId, WorkspaceTotal]>;
	readonly window: ReadonlyArray<readonly [string, number]>;
	readonly windowForgotten: number;
	/** Missing in snapshots of versions that kept no refused bills. */
	readonly refused?: readonly Bill[];
};

const emptyLedger: LedgerData = {
	...emptyBillOrigins, first: 1, bills: [], totals: [], window: [], windowForgotten: 0,
};

/** The set of bills: each is recorded once, and what would be doubtful is refused. */
export class Ledger {
	/** The position of the first bill that is still here; positions count from 1. */
	#first: number;
	#bills: Bill[];
	readonly #totals: Map<WorkspaceId, WorkspaceTotal>;
	readonly #origins: BillOrigins;
	readonly #refused: RefusedBills;
	/** When each bill without an origin was settled, in the order in which they came. */
	readonly #window: Map<string, number>;
	/** The latest `settledAt` of a bill that left the window. */
	#windowForgotten: number;

	constructor(data: LedgerData = emptyLedger) {
		this.#first = data.first;
		this.#bills = [...data.bills];
		this.#totals = new Map(data.totals);
		this.#origins = new BillOrigins(data);
		this.#refused = new RefusedBills(data.refused);
		this.#window = new Map(data.window);
		this.#windowForgotten = data.windowForgotten;
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

	record({bills, running}: RecordBillsCommand, {limits, time}: CommandContext): {readonly recorded: number; readonly expired: readonly RequestId[]} {
		if (running !== undefined) {
			this.#origins.heardOf(running, time.elapsed);
		}

		const expired: RequestId[] = [];
		let recorded = 0;
		for (const bill of bills) {
			const addition = bill.origin === undefined ? this.#addToWindow(bill, limits) : this.#origins.add({instance: bill.instance, ...bill.origin}, time.elapsed);
			if (addition === 'below-floor') {
				expired.push(bill.request);
				this.#refused.add(bill);
			}

			if (addition === 'added') {
				this.#append(bill);
				recorded++;
			}
		}

		return {recorded, expired};
	}

	read({workspace, after, limit, isRefused = false}: LedgerQuestion): LedgerPage {
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

	dropArchived(lastPosition: number): void {
		const dropped = Math.min(Math.max(0, lastPosition - this.#first + 1), this.#bills.length);
		this.#bills = this.#bills.slice(dropped);
		this.#first += dropped;
	}

	expire({limits: {originMilliseconds}, time}: CommandContext): void {
		this.#origins.forgetIdle(time.elapsed - originMilliseconds);
	}

	toData(): LedgerData {
		return {
			...this.#origins.toData(),
			first: this.#first,
			bills: this.#bills,
			totals: [...this.#totals],
			window: [...this.#window],
			windowForgotten: this.#windowForgotten,
			refused: this.#refused.bills,
		};
	}

	#append(bill: Bill): void {
		this.#bills.push(bill);
		const {bills, micros} = this.total(bill.workspace);
		this.#totals.set(bill.workspace, {bills: bills + 1, micros: micros + bill.total});
	}

	#addToWindow(bill: Bill, {billWindow}: ControlLimits): Addition {
		const key = `${bill.workspace}/${bill.request}`;
		if (this.#window.has(key)) {
			return 'present';
		}

		if (bill.settledAt <= this.#windowForgotten) {
			return 'below-floor';
		}

		this.#window.set(key, bill.settledAt);
		for (const [oldest, settledAt] of this.#window) {
			if (this.#window.size <= billWindow) {
				break;
			}

			this.#window.delete(oldest);
			this.#windowForgotten = Math.max(this.#windowForgotten, settledAt);
		}

		return 'added';
	}
}
