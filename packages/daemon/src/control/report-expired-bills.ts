import {type RecordBillsResponse} from '@valehitch/control';
import {type Bill} from '@valehitch/core';
import {type DaemonBase} from '../daemon-base.js';
import {type AppliedCommand} from './control-host-options.js';

/**
Logs and counts the bills that the ledger rejected as expired, since their owners keep no copy.

Only the replica that replies to the proposer reports them, so each reply is reported once.

@param base The logger and the metrics.
@param applied The applied command.
@returns The rejected bills.
@example
```ts
host.onApplied(applied => reportExpiredBills(base, applied));
```
*/
export function reportExpiredBills({log, metrics}: Pick<DaemonBase, 'log' | 'metrics'>, {command, result, isAwaited}: AppliedCommand): readonly Bill[] {
	if (command.type !== 'record-bills' || !isAwaited) {
		return [];
	}

	const {expired} = result.map(answer => answer as RecordBillsResponse).orDefault({recorded: 0, expired: [], revision: 0});
	const rejected = command.bills.filter(({request}) => expired.includes(request));
	for (const bill of rejected) {
		metrics.increment('ledger.expired');
		log.error({bill}, 'The ledger rejected a bill as expired; it is listed among the refused bills and must be added manually');
	}

	return rejected;
}
