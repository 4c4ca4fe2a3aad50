import {setTimeout as delay} from 'node:timers/promises';
import {type Deployment, type RunningDaemon} from '../deployment.js';
import {readProcessUsage} from '../process-usage.js';
import {type MeasuredQuantities} from './series.js';

const millisecondsPerSecond = 1000;
const microsecondsPerSecond = 1_000_000;
const bytesPerKilobyte = 1024;
const percent = 100;

/** The daemons to measure, and for how long. */
export type MeasureUsageOptions = {
	readonly deployment: Deployment;
	/** The daemons to average over; all by default. */
	readonly daemons?: readonly RunningDaemon[];
	readonly seconds: number;
};

type Sample = {
	readonly at: number;
	readonly cpuMicroseconds: number;
	readonly memoryBytes: number;
	readonly bytesSent: number;
	readonly bytesReceived: number;
};

/** Measures memory, processor time and traffic over an interval and returns the mean over the daemons. */
export async function measureUsage({deployment, daemons = deployment.daemons, seconds}: MeasureUsageOptions): Promise<MeasuredQuantities> {
	const before = await Promise.all(daemons.map(async daemon => sampleOf(deployment, daemon)));
	await delay(seconds * millisecondsPerSecond);
	const after = await Promise.all(daemons.map(async daemon => sampleOf(deployment, daemon)));
	const perSecond = (figure: 'cpuMicroseconds' | 'bytesSent' | 'bytesReceived') => meanOf(after.map((sample, index) => {
		const earlier = before[index] ?? sample;
		return (sample[figure] - earlier[figure]) * millisecondsPerSecond / (sample.at - earlier.at);
	}));
	return {
		memory: {value: meanOf(after.map(({memoryBytes}) => memoryBytes)) / bytesPerKilobyte, unit: 'KB'},
		processor: {value: perSecond('cpuMicroseconds') * percent / microsecondsPerSecond, unit: '% of a core'},
		sent: {value: perSecond('bytesSent'), unit: 'bytes/s to other daemons'},
		received: {value: perSecond('bytesReceived'), unit: 'bytes/s from other daemons'},
	};
}

async function sampleOf(deployment: Deployment, daemon: RunningDaemon): Promise<Sample> {
	const {traffic} = await deployment.status(daemon);
	const usage = await readProcessUsage(daemon.process.pid ?? 0);
	return {
		at: performance.now(),
		...usage,
		bytesSent: traffic?.bytesSent ?? 0,
		bytesReceived: traffic?.bytesReceived ?? 0,
	};
}

function meanOf(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total / Math.max(1, values.length);
}
