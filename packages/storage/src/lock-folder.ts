import {stat} from 'node:fs/promises';
import {createServer} from 'node:net';
import {type Failure, failure} from '@valehitch/core';
import {type Either, Left, Right} from 'purify-ts';

/** Releases a lock. */
export type Unlock = () => Promise<void>;

/**
Acquires an exclusive lock on a folder among the processes of one machine.

The lock is a Unix socket in the abstract namespace, named after the folder's device and inode. The kernel closes it when the process ends for any reason, so no stale lock remains.

@param folder The path of the folder.
@returns A function that releases the lock, or a failure if another process holds it.
@example
```ts
const unlock = await lockFolder('/var/lib/valehitch');
```
*/
export async function lockFolder(folder: string): Promise<Either<Failure, Unlock>> {
	const {dev, ino} = await stat(folder);
	const server = createServer(socket => {
		socket.destroy();
	});
	const error = await new Promise<NodeJS.ErrnoException | undefined>(resolve => {
		server.once('error', resolve);
		server.listen({path: `\0valehitch-data-${dev}-${ino}`, exclusive: true}, () => {
			resolve(undefined);
		});
	});
	if (error !== undefined) {
		return Left(failure('internal', error.code === 'EADDRINUSE'
			? `The data folder ${folder} is already open in another process`
			: `Cannot lock the data folder ${folder}: ${error.message}`));
	}

	server.unref();
	return Right(async () => new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	}));
}
