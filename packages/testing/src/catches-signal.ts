import {readFile} from 'node:fs/promises';
import {constants} from 'node:os';

/**
Tells whether a process has a listener for a signal, by the mask of caught signals that Linux shows in `/proc/PID/status`.

@param pid The process.
@param signal The signal.
@returns Whether it is caught; false too where the process has ended.
@example
```ts
await catchesSignal(child.pid, 'SIGHUP');
```
*/
export async function catchesSignal(pid: number, signal: NodeJS.Signals): Promise<boolean> {
	const status = await readStatus(pid);
	const mask = /^SigCgt:\s*(?<mask>[\da-f]+)$/mv.exec(status)?.groups?.mask ?? '0';
	const caught = BigInt(`0x${mask}`) / (2n ** BigInt(constants.signals[signal] - 1));
	return caught % 2n === 1n;
}

async function readStatus(pid: number): Promise<string> {
	try {
		return await readFile(`/proc/${pid}/status`, 'utf8');
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT' || (error as NodeJS.ErrnoException).code === 'ESRCH') {
			return '';
		}

		throw error;
	}
}
