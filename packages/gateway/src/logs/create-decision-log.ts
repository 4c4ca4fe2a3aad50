import {Writable} from 'node:stream';
import {type Clock} from '@valehitch/core';
import bunyan from 'bunyan';
import {type BoundedOutput} from './bounded-output.js';
import {type DecisionLog} from './decision-log.js';
import {LineBudget, type LineBudgetOptions} from './line-budget.js';

/** What a decision log needs. */
export type CreateDecisionLogOptions = LineBudgetOptions & {
	readonly clock: Clock;
	readonly output: BoundedOutput;
	/** What stands in every line, such as the instance and its availability zone. */
	readonly fields: Readonly<Record<string, string>>;
};

/**
Makes the log of decisions: one JSON line each, bounded by kind, never blocking.

@param name The program.
@param options Where lines go and how many.
@returns The log.
@example
```ts
const log = createDecisionLog('valehitch-entry', {clock, output, fields: {instance: '10.0.0.4'}});
```
*/
export function createDecisionLog(name: string, {clock, output, fields, ...budgetOptions}: CreateDecisionLogOptions): DecisionLog {
	const logger = bunyan.createLogger({name, ...fields, streams: [{level: 'info', stream: toStream(output)}]});
	const budget = new LineBudget(budgetOptions);
	return (kind, values, level = 'info') => {
		for (const leftOut of budget.renew(clock.monotonic())) {
			logger.warn({
				kind: 'lines-left-out', of: leftOut.kind, count: leftOut.count, dropped: output.dropped(),
			}, 'lines-left-out');
		}

		if (budget.take(kind, {isUrgent: level !== 'info'})) {
			logger[level]({kind, ...values}, kind);
		}

		if (level !== 'info') {
			// What went wrong is written at once, and with it what led there.
			void output.flush();
		}
	};
}

/** The logger wants a stream; what it writes is taken or dropped at once. */
function toStream(output: BoundedOutput): Writable {
	return new Writable({
		decodeStrings: false,
		write(line: string, _encoding, done) {
			output.write(line);
			done();
		},
	});
}
