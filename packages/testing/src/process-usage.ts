import {readdir, readFile} from 'node:fs/promises';

/** What a process has used. */
export type ProcessUsage = {
	/** Processor time since its start, over all its threads, in microseconds. */
	readonly cpuMicroseconds: number;
	/** Memory in real memory now, in bytes. */
	readonly memoryBytes: number;
};

const bytesPerKilobyte = 1024;
const nanosecondsPerMicrosecond = 1000;

/**
Reads the processor time and memory of a process from Linux's /proc.

@param pid The process id.
@returns What it has used.
@throws Where there is no such process, or no /proc.
@example
```ts
const {memoryBytes} = await readUsage(process.pid);
```
*/
export async function readUsage(pid: number): Promise<ProcessUsage> {
	const status = await readFile(`/proc/${pid}/status`, 'utf8');
	const resident = /^VmRSS:\s+(?<kilobytes>\d+) kB$/mv.exec(status)?.groups?.kilobytes;
	const threads = await readdir(`/proc/${pid}/task`);
	let nanoseconds = 0;
	for (const thread of threads) {
		nanoseconds += await readThread(pid, thread);
	}

	return {
		cpuMicroseconds: nanoseconds / nanosecondsPerMicrosecond,
		memoryBytes: Number(resident ?? 0) * bytesPerKilobyte,
	};
}

async function readThread(pid: number, thread: string): Promise<number> {
	const times = await readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8');
	return Number(times.split(' ')[0]);
}
