import {
	type Bill, type BillLine, type RequestId, sumAmounts, type WorkspaceId,
} from '@valehitch/core';
import {type AttemptBillLine, type PreparationAction, type RequestEvent} from '@valehitch/routing';
import {type EntryContext} from '../entry-context.js';
import {type RequestAdapter} from './request-adapter.js';

/** The action that requests the settlement of the bill. */
export type SettleBillAction = Extract<PreparationAction, {readonly type: 'settle-bill'}>;

/** Options of a {@linkcode RequestBill}. */
export type RequestBillOptions = {
	readonly workspace: WorkspaceId;
	readonly requestId: RequestId;
	readonly adapter: Pick<RequestAdapter, 'costOf'>;
	readonly context: Pick<EntryContext, 'bills' | 'clock' | 'settings' | 'timeline'>;
};

/**
The bill of one request, which is opened before the first dispatch and settled before the last byte is sent.

@example
```ts
const event = await bill.open();
await bill.settle({type: 'settle-bill', outcome: 'answered', lines});
```
*/
export class RequestBill {
	readonly #options: RequestBillOptions;

	constructor(options: RequestBillOptions) {
		this.#options = options;
	}

	/**
	Opens the bill.

	@returns The event that reports whether the bill could be opened.
	*/
	async open(): Promise<RequestEvent> {
		const {context: {bills, clock, timeline}, workspace, requestId} = this.#options;
		const opened = await bills.open({workspace, request: requestId, openedAt: clock.now().getTime()});
		timeline.record('bill-opened', {requestId, workspace, details: {opened: opened.isRight()}});
		return opened.caseOf<RequestEvent>({
			Left: failed => ({type: 'bill-not-possible', failure: failed}),
			Right: () => ({type: 'bill-opened'}),
		});
	}

	/**
	Settles the bill with a line for each attempt that ran or may have run. The bill is discarded if provably no attempt ran.

	@param settlement The outcome of the request, and its attempts.
	@returns Resolves when another instance or the ledger has the settled bill.
	*/
	async settle({outcome, lines: attempts}: SettleBillAction): Promise<void> {
		const {context: {bills, clock, settings, timeline}, workspace, requestId} = this.#options;
		const lines = attempts.filter(attempt => attempt.outcome !== 'notRun').map(attempt => this.#toLine(attempt));
		if (lines.length === 0) {
			bills.discard(requestId);
			return;
		}

		const bill: Bill = {
			workspace,
			request: requestId,
			instance: settings.instance,
			lines,
			total: sumAmounts(lines.map(({cost}) => cost)),
			outcome,
			settledAt: clock.now().getTime(),
		};
		timeline.record('bill-settled', {requestId, workspace, details: {total: bill.total, outcome}});
		await bills.settle(bill);
	}

	/** An attempt whose outcome is unknown is not charged. */
	#toLine({target, server, usage, outcome, purpose}: AttemptBillLine): BillLine {
		const cost = outcome === 'ran' ? this.#options.adapter.costOf(target, usage) : sumAmounts([]);
		const line = {
			server, usage, cost, purpose,
		};
		return target.type === 'version'
			? {...line, model: target.model, version: target.version}
			: {...line, service: target.service};
	}
}
