import {type BillsAnswer} from '@valehitch/control';
import {type Bill} from '@valehitch/core';
import {type DaemonBase} from '../daemon-base.js';
import {type AppliedCommand} from './control-host-options.js';

/**
Raises the alarm for bills that the ledger refused as expired: their owners keep no copy.

Only the replica that answers the proposer does so, which is once for each answer.

@param base Where the alarm goes.
@param applied A command that was applied.
@returns The refused bills.
@example
```ts
host.onApplied(applied => reportExpiredBills(base, applied));
```
*/
export function reportExpiredBills({log, metrics}: Pick<DaemonBase, 'log' | 'metrics'>, {command, result, isAwaited}: AppliedCommand): readonly Bill[] {
	if (command.type !== 'record-bills' || !isAwaited) {
		return [];
	}

	const {expired} = result.map(answer => answer as BillsAnswer).orDefault({recorded: 0, expired: [], revision: 0});
	const refused = command.bills.filter(({request}) => expired.includes(request));
	for (const bill of refused) {
		metrics.increment('ledger.expired');
		log.error({bill}, 'The ledger refused a bill as expired; it is listed as refused and must be added by hand');
	}

	return refused;
}
