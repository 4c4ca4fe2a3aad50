import {type MetricsSettings} from '@valehitch/settings';

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

const silent: Metrics = {
	increment() {
		// Nothing is sent.
	},
	timing() {
		// Nothing is sent.
	},
	gauge() {
		// Nothing is sent.
	},
	close() {
		// Nothing is open.
	},
};

/**
Opens the metrics over UDP.

Without settings the library is not loaded: its mock keeps every message for good.

@param settings Where to send them; nothing is sent without.
@param onError Told of each error of the socket.
@returns The metrics.
@example
```ts
const metrics = await openMetrics(settings.metrics, error => log.warn(error));
```
*/
export async function openMetrics(settings: MetricsSettings | undefined, onError: (error: Error) => void): Promise<Metrics> {
	if (settings === undefined) {
		return silent;
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
