import {readdir, readFile} from 'node:fs/promises';

/** The resource usage of a process. */
export type ProcessUsage = {
	/** CPU time of all its threads since their start, in microseconds. */
	readonly cpuMicroseconds: number;
	/** Current resident set size, in bytes. */
	readonly memoryBytes: number;
};

const bytesPerKilobyte = 1024;
const nanosecondsPerMicrosecond = 1000;

/**
Reads the CPU time and resident memory of a process from Linux's /proc.

@param pid The process id.
@returns The resource usage.
@throws If there is no such process, or no /proc.
@example
```ts
const {memoryBytes} = await readProcessUsage(process.pid);
```
*/
export async function readProcessUsage(pid: number): Promise<ProcessUsage> {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const resident = /^VmRSS:\s+(?<kilobytes>\d+) kB$/mv.exec(status)?.groups?.kilobytes;
	const threads = await readdir(`/proc/${pid}/task`);
	let nanoseconds = 0;
	for (const thread of threads) {
		nanoseconds += await readThreadNanoseconds(pid, thread);
	}

	return {
		cpuMicroseconds: nanoseconds / nanosecondsPerMicrosecond,
		memoryBytes: Number(resident ?? 0) * bytesPerKilobyte,
	};
}

async function readThreadNanoseconds(pid: number, thread: string): Promise<number> {
	const fields = await readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8');
	return Number(fields.split(' ')[0]);
}
