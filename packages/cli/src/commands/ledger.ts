import {Flags} from '@oclif/core';
import {
	getLedger, type LedgerPage, type LedgerQuery, type Target,
} from '../_operator-client.js';
import {OperatorCommand, targetFlags} from '../_operator-command.js';
import {formatTable} from '../_table.js';

const columns: readonly string[] = ['workspace', 'request', 'outcome', 'total', 'attempts', 'instance', 'settledAt'];

type Bill = LedgerPage['bills'][number];

/** Prints the bills of the ledger. */
export class Ledger extends OperatorCommand {
	static override readonly summary = 'Print the bills of the ledger.';
	static override readonly description = 'Totals are in millionths of the unit of account; attempts is the number of lines of a bill.';
	static override readonly flags = {
		...targetFlags,
		workspace: Flags.string({summary: 'Only bills of this workspace.'}),
		after: Flags.integer({summary: 'The number of bills to skip.', min: 0, default: 0}),
		all: Flags.boolean({summary: 'Read all pages instead of one.', default: false}),
		refused: Flags.boolean({summary: 'Print the bills that the ledger refused; they are not part of any total and must be added by hand.', default: false}),
	};

	static override readonly examples = ['<%= config.bin %> ledger --workspace yard --all'];

	/**
	Fetches and prints the bills.

	@returns The bills, and the position of the next page if there is one.
	*/
	async run(): Promise<LedgerPage> {
		const {flags} = await this.parse(Ledger);
		const page = await this.#read(flags, flags);
		const rows = page.bills.map(bill => ({...bill, attempts: Array.isArray(bill.lines) ? bill.lines.length : undefined, settledAt: formatSettlementTime(bill)}));
		for (const line of formatTable(rows, columns)) {
			this.log(line);
		}

		if (page.next !== undefined) {
			this.logToStderr(`More bills with --after ${page.next}`);
		}

		return page;
	}

	async #read(target: Target, {workspace, after, all, refused}: LedgerQuery & {readonly all: boolean}): Promise<LedgerPage> {
		const bills: Bill[] = [];
		for (let next: number | undefined = after; next !== undefined;) {
			const page: LedgerPage = this.unwrap(await getLedger(target, {workspace, after: next, refused}));
			bills.push(...page.bills);
			if (!all) {
				return page;
			}

			next = page.next;
		}

		return {bills};
	}
}

function formatSettlementTime({settledAt}: Bill): string | undefined {
	return typeof settledAt === 'number' ? new Date(settledAt).toISOString() : undefined;
}
