import {type MetricsSettings} from '@valehitch/settings';
import {StatsD} from 'hot-shots';

/** Where counters and timings go. */
export type Metrics = {
	/** Adds one to a counter. */
	readonly increment: (name: string, tags?: Readonly<Record<string, string>>) => void;
	/** Records a duration in milliseconds. */
	readonly timing: (name: string, milliseconds: number, tags?: Readonly<Record<string, string>>) => void;
	/** Sets a value. */
	readonly gauge: (name: string, value: number) => void;
	readonly close: () => void;
};

/**
Opens the metrics over UDP.

@param settings Where to send them; nothing is sent without.
@param onError Told of each error of the socket.
@returns The metrics.
@example
```ts
const metrics = openMetrics(settings.metrics, error => log.warn(error));
```
*/
export function openMetrics(settings: MetricsSettings | undefined, onError: (error: Error) => void): Metrics {
	const client = new StatsD({
		host: settings?.host ?? '127.0.0.1',
		port: settings?.port ?? 0,
		prefix: `${settings?.prefix ?? 'valehitch'}.`,
		mock: settings === undefined,
		maxBufferSize: 1400,
		errorHandler: onError,
	});
	return {
		increment(name, tags) {
			client.increment(name, tags);
		},
		timing(name, milliseconds, tags) {
			client.timing(name, milliseconds, tags);
		},
		gauge(name, value) {
			client.gauge(name, value);
		},
		close() {
			client.close();
		},
	};
}
