import {Buffer} from 'node:buffer';
import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {type Writable} from 'node:stream';

/** An output with a bounded buffer that drops lines while its reader is too slow. */
export type BoundedOutput = {
	/** Buffers a line to be written in a batch, or drops it if the buffer is full; never blocks. */
	readonly write: (line: string) => void;
	/** Writes all buffered lines now; resolves once they are handed to the operating system. */
	readonly flush: () => Promise<void>;
	/** Returns the number of lines dropped since the start. */
	readonly dropped: () => number;
};

/** The maximum size of the buffer: enough for several seconds of lines, and small compared to the memory of an instance. */
const maximumBufferedBytes = 262_144;
/** The time for which lines are collected into one write, in milliseconds, because a write costs more than formatting a line. */
const batchMilliseconds = 250;

/**
Opens a file descriptor as an output that never blocks on its reader. Pipes are written asynchronously, unlike by `process.stdout`.

@param descriptor The file descriptor; 1 is standard output.
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
Creates an output that bounds the data buffered in a stream.

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
	const uncorkNow = (): void => {
		if (timer !== undefined) {
			clearTimeout(timer);
			timer = undefined;
			stream.uncork();
		}
	};

	// A closed reader must not terminate the process; lines written afterwards are counted as dropped.
	stream.on('error', () => {
		dropped++;
	});
	return {
		write(line) {
			const isBufferFull = stream.writableLength + Buffer.byteLength(line) > maximumBufferedBytes;
			if (isBufferFull || stream.destroyed) {
				dropped++;
				return;
			}

			if (timer === undefined) {
				stream.cork();
				timer = setTimeout(uncorkNow, batchMilliseconds);
				timer.unref();
			}

			stream.write(line);
		},
		async flush() {
			uncorkNow();
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
