import {type MetricsSettings} from '@valehitch/settings';

/** A client that reports counters, timings and gauges. */
export type Metrics = {
	/** Increments a counter by one. */
	readonly increment: (name: string, tags?: Readonly<Record<string, string>>) => void;
	/** Records a duration in milliseconds. */
	readonly timing: (name: string, milliseconds: number, tags?: Readonly<Record<string, string>>) => void;
	/** Sets a gauge. */
	readonly gauge: (name: string, value: number) => void;
	readonly close: () => void;
};

const noopMetrics: Metrics = {
	increment() {
		// Metrics are disabled.
	},
	timing() {
		// Metrics are disabled.
	},
	gauge() {
		// Metrics are disabled.
	},
	close() {
		// There is no socket to close.
	},
};

/**
Opens a StatsD client over UDP.

Without settings, the StatsD library is not loaded, because its mock mode retains every message in memory.

@param settings The address of the StatsD server; without it, nothing is sent.
@param onError Called with each socket error.
@returns The metrics client.
@example
```ts
const metrics = await openMetrics(settings.metrics, error => log.warn(error));
```
*/
export async function openMetrics(settings: MetricsSettings | undefined, onError: (error: Error) => void): Promise<Metrics> {
	if (settings === undefined) {
		return noopMetrics;
	}

	const hotShots = await import('hot-shots');
	const client = new hotShots.StatsD({
		host: settings.host,
		port: settings.port,
		prefix: `${settings.prefix}.`,
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
