import {readFile} from 'node:fs/promises';
import {constants} from 'node:os';

/**
Determines whether a process has a handler for a signal, from the mask of caught signals (`SigCgt`) in Linux's `/proc/PID/status`.

@param pid The process id.
@param signal The signal.
@returns Whether the signal is caught; false if the process has exited.
@example
```ts
await catchesSignal(child.pid, 'SIGHUP');
```
*/
export async function catchesSignal(pid: number, signal: NodeJS.Signals): Promise<boolean> {
	const status = await readStatus(pid);
	const mask = /^SigCgt:\s*(?<mask>[\da-f]+)$/mv.exec(status)?.groups?.mask ?? '0';
	const shiftedMask = BigInt(`0x${mask}`) / (2n ** BigInt(constants.signals[signal] - 1));
	return shiftedMask % 2n === 1n;
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
