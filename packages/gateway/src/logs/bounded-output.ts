import {Buffer} from 'node:buffer';
import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {type Writable} from 'node:stream';

/** Takes text, and drops it while the reader is behind. */
export type BoundedOutput = {
	/** Writes a line with those of the next moments, or drops it; never blocks. */
	readonly write: (line: string) => void;
	/** Hands all lines to the system now; resolves once it has them. */
	readonly flush: () => Promise<void>;
	/** How many lines were dropped since the start. */
	readonly dropped: () => number;
};

/** Bytes that may wait for the reader: some seconds of lines, and little of an instance's memory. */
const maximumWaitingBytes = 262_144;
/** Lines wait this long for others, in milliseconds, since each write costs an instance more than the line does. */
const gatherMilliseconds = 250;

/**
Opens a file descriptor for lines without ever blocking on its reader: a pipe is written asynchronously, which `process.stdout` does not do.

@param descriptor The file descriptor, 1 for the standard output.
@returns The output.
@example
```ts
openBoundedOutput(1).write('{}\n');
```
*/
export function openBoundedOutput(descriptor: number): BoundedOutput {
	return toBoundedOutput(openDescriptor(descriptor));
}

/**
Bounds what waits in a stream.

@param stream The stream.
@returns The output.
@example
```ts
toBoundedOutput(stream).write('{}\n');
```
*/
export function toBoundedOutput(stream: Writable): BoundedOutput {
	let dropped = 0;
	let timer: NodeJS.Timeout | undefined;
	const release = (): void => {
		if (timer !== undefined) {
			clearTimeout(timer);
			timer = undefined;
			stream.uncork();
		}
	};

	// A reader that went away must not end the process; what is written after that is counted as dropped.
	stream.on('error', () => {
		dropped++;
	});
	return {
		write(line) {
			const isBehind = stream.writableLength + Buffer.byteLength(line) > maximumWaitingBytes;
			if (isBehind || stream.destroyed) {
				dropped++;
				return;
			}

			if (timer === undefined) {
				stream.cork();
				timer = setTimeout(release, gatherMilliseconds);
				timer.unref();
			}

			stream.write(line);
		},
		async flush() {
			release();
			await new Promise<void>(resolve => {
				if (stream.destroyed) {
					resolve();
				} else {
					stream.write('', () => {
						resolve();
					});
				}
			});
		},
		dropped: () => dropped,
	};
}

function openDescriptor(descriptor: number): Writable {
	const status = fstatSync(descriptor);
	return status.isFIFO() || status.isSocket()
		? new Socket({fd: descriptor, readable: false, writable: true})
		: createWriteStream('', {fd: descriptor, autoClose: false});
}
