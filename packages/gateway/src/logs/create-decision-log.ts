import {Writable} from 'node:stream';
import {type Clock} from '@valehitch/core';
import bunyan from 'bunyan';
import {type BoundedOutput} from './bounded-output.js';
import {type DecisionLog} from './decision-log.js';
import {LogRateLimiter, type LogRateLimiterOptions} from './log-rate-limiter.js';

/** Options of a decision log. */
export type CreateDecisionLogOptions = LogRateLimiterOptions & {
	readonly clock: Clock;
	readonly output: BoundedOutput;
	/** The fields of every line, such as the instance and its availability zone. */
	readonly fields: Readonly<Record<string, string>>;
};

/**
Creates a log that writes one JSON line per decision, limits the rate of each kind of line, and never blocks.

@param name The name of the program.
@param options The output and the rate limits.
@returns The log.
@example
```ts
const log = createDecisionLog('valehitch-entry', {clock, output, fields: {instance: '10.0.0.4'}});
```
*/
export function createDecisionLog(name: string, {clock, output, fields, ...rateLimiterOptions}: CreateDecisionLogOptions): DecisionLog {
	const logger = bunyan.createLogger({name, ...fields, streams: [{level: 'info', stream: toStream(output)}]});
	const rateLimiter = new LogRateLimiter(rateLimiterOptions);
	return (kind, values, level = 'info') => {
		for (const suppressed of rateLimiter.startWindow(clock.monotonic())) {
			logger.warn({
				kind: 'lines-left-out', of: suppressed.kind, count: suppressed.count, dropped: output.dropped(),
			}, 'lines-left-out');
		}

		if (rateLimiter.tryAcquire(kind, {isUrgent: level !== 'info'})) {
			logger[level]({kind, ...values}, kind);
		}

		if (level !== 'info') {
			// Warnings and errors are written immediately, together with the lines that precede them.
			void output.flush();
		}
	};
}

/** Adapts an output to the stream that the logger requires; each line is buffered or dropped immediately. */
function toStream(output: BoundedOutput): Writable {
	return new Writable({
		decodeStrings: false,
		write(line: string, _encoding, done) {
			output.write(line);
			done();
		},
	});
}
